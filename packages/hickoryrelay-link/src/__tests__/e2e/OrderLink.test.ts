import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SystemClock } from 'hickoryrelay/Clock';
import { RelayError, failureOf } from 'hickoryrelay/RelayError';
import { HttpOrderLink } from 'hickoryrelay-link/OrderLink';
import { EngineOrderReceiver } from 'hickoryrelay-standin/EngineOrderReceiver';
import { Fault } from 'hickoryrelay-standin/FaultPlan';
import { JsonServer } from 'hickoryrelay-standin/JsonServer';

import type { IssuedOrder } from 'hickoryrelay-endpoint/EndpointOrder';
import type { JsonResponse, ReceivedRequest } from 'hickoryrelay-standin/JsonServer';

class OrderServer extends JsonServer {
  readonly side = new EngineOrderReceiver(new SystemClock(), { fencing: true, deadline: true });

  protected override answer(request: ReceivedRequest): JsonResponse {
    return this.side.answer(request);
  }
}

function order(identifier: string, fencingNumber: number, lifeMilliseconds = 60_000): IssuedOrder {
  return {
    identifier,
    endpoint: 'engine-1',
    order: { type: 'load-adapter', model: 'model-one', adapter: 'adapter-one' },
    fencingNumber,
    deadlineMilliseconds: Date.now() + lifeMilliseconds,
  };
}

describe('HttpOrderLink', () => {
  let server: OrderServer;
  let link: HttpOrderLink;
  let isHeld: boolean;

  beforeEach(async () => {
    server = new OrderServer();
    await server.listen();
    isHeld = true;
    const place = { identifier: 'engine-1', zone: 'zone-a', url: server.url };
    link = new HttpOrderLink(place, () => {
      if (!isHeld) {
        throw new RelayError({ kind: 'authority-lost', zone: 'zone-a', fencingNumber: 1 });
      }
    });
  });

  afterEach(async () => {
    await link.close();
    await server.close();
  });

  it('sends orders, reads the state, and tells why an order was refused', async () => {
    expect(await link.send(order('one', 2))).toBe('taken');
    expect(await link.readState()).toEqual({
      lastOrder: 'one',
      progress: 'running',
      fencingNumber: 2,
    });
    expect(await link.send(order('old', 1))).toBe('refused-as-fenced');
    expect(await link.send(order('late', 2, -1))).toBe('refused');
  });

  it('writes nothing once the authority is lost, even on a request that waited to connect', async () => {
    // The check passes when the order is queued and fails when the connection is ready.
    const sending = link.send(order('one', 1)).then(() => undefined, failureOf);
    isHeld = false;
    expect(await sending).toMatchObject({ kind: 'authority-lost' });
    expect(server.side.taken).toEqual([]);
  });

  it('writes nothing on an open connection once the authority is lost', async () => {
    await link.readState();
    isHeld = false;
    const failure = await link.send(order('one', 1)).then(() => undefined, failureOf);
    expect(failure).toMatchObject({ kind: 'authority-lost' });
    expect(server.side.taken).toEqual([]);
  });

  it('says of a lost answer that the order may have been taken, and does not repeat it', async () => {
    server.faults.enqueue(Fault.LoseResponse);
    const failure = await link.send(order('one', 1)).then(() => undefined, failureOf);
    expect(failure).toMatchObject({ kind: 'endpoint-failed', mayHaveRun: true });
    expect(server.side.taken.length).toBe(1);
    expect((await link.readState()).lastOrder).toBe('one');
  });
});
