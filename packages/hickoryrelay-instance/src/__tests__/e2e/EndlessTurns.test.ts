import { afterEach, describe, expect, it } from 'vitest';
import { ServiceLink } from 'hickoryrelay-link/ServiceLink';
import { EndlessPart, EndlessServer } from 'hickoryrelay-standin/EndlessServer';
import { ReadMeter } from 'hickoryrelay-standin/ReadMeter';

import type { ServiceCall } from 'hickoryrelay-link/Call';

const CALL: ServiceCall = {
  kind: 'service',
  requestIdentifier: 'request-1',
  accountName: 'first',
  keyIdentifier: undefined,
  className: 'look',
  arrivalMilliseconds: 0,
  deadlineMilliseconds: 1_000_000,
  isIdempotent: true,
  idempotencyKey: undefined,
  route: 'look',
  method: 'GET',
  path: '/up',
  contentType: undefined,
  body: undefined,
};

const CALLS = 20;
const BYTES_FOR_EACH_CALL = 1_048_576;

/** A turn is full at 64 KiB, with a last portion of less than twice its share. */
const MAXIMUM_TURN_BYTES = 131_072;

const cleanUps: (() => unknown)[] = [];

afterEach(async () => {
  for (const cleanUp of cleanUps.splice(0).reverse()) {
    await cleanUp();
  }
});

// Guards against endpoints whose responses keep the connections of other callers waiting.
describe('Responses without end', () => {
  it.each([
    ['idempotent', true],
    ['not idempotent', false],
  ])('are read in turns by the link for calls that are %s', async (_name, isIdempotent) => {
    const server = new EndlessServer(EndlessPart.Body);
    await server.listen();
    cleanUps.push(() => server.close());
    const link = new ServiceLink({ identifier: 'e-1', zone: 'z', url: `http://${server.address}` });
    cleanUps.push(() => link.close());
    const meter = new ReadMeter();
    cleanUps.push(() => meter.stop());
    const { signal } = new AbortController();
    const read = async (): Promise<void> => {
      const response = link.send({ ...CALL, isIdempotent }, signal);
      await response.headReceived;
      let bytes = 0;
      for await (const chunk of response.chunks) {
        bytes += chunk.length;
        if (bytes >= BYTES_FOR_EACH_CALL) {
          break;
        }
      }
    };
    await Promise.all(Array.from({ length: CALLS }, read));
    expect(meter.totalBytes).toBeGreaterThan(CALLS * BYTES_FOR_EACH_CALL);
    expect(meter.maximumBytes).toBeLessThanOrEqual(MAXIMUM_TURN_BYTES);
  });
});
