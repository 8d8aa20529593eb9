import { describe, expect, it } from 'vitest';
import { HttpEndpointSupply } from 'hickoryrelay-platform/HttpPlatform';

/** An address without a listener. */
const UNREACHABLE_URL = 'http://127.0.0.1:9';

describe('HttpEndpointSupply', () => {
  // Guards against an uncaught error that ends the process when the platform is not reachable.
  it('reports an order that could not be sent as without effect', async () => {
    const order = {
      idempotencyKey: 'o-1',
      kind: 'engine',
      zone: 'a',
      fencingNumber: 1,
      deadlineMilliseconds: 1,
    };
    await expect(
      new HttpEndpointSupply(UNREACHABLE_URL).order(order, () => {}),
    ).rejects.toMatchObject({
      failure: { kind: 'platform-unavailable', mayHaveTakenEffect: false },
    });
  });
});
