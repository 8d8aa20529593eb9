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
  readonly orderHandler = new EngineOrderReceiver(new SystemClock(), {
    fencing: true,
    deadline: true,
  });

  protected override answer(request: ReceivedRequest): JsonResponse {
    return this.orderHandler.answer(request);
  }
}

function makeOrder(
  identifier: string,
  fencingNumber: number,
  timeToLiveMilliseconds = 60_000,
): IssuedOrder {
  return {
    identifier,
    endpoint: 'engine-1',
    order: { type: 'load-adapter', model: 'model-one', adapter: 'adapter-one' },
    fencingNumber,
    deadlineMilliseconds: Date.now() + timeToLiveMilliseconds,
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
    const location = { identifier: 'engine-1', zone: 'zone-a', url: server.url };
    link = new HttpOrderLink(location, () => {
      if (!isHeld) {
        throw new RelayError({ kind: 'authority-lost', zone: 'zone-a', fencingNumber: 1 });
      }
    });
  });

  afterEach(async () => {
    await link.close();
    await server.close();
  });

  // Guards against an order refused by fencing that is taken for one refused for another reason.
  it('sends orders, reads the state and reports why an order was refused', async () => {
    expect(await link.send(makeOrder('one', 2))).toBe('taken');
    expect(await link.readState()).toEqual({
      lastOrder: 'one',
      progress: 'running',
      fencingNumber: 2,
    });
    expect(await link.send(makeOrder('old', 1))).toBe('refused-as-fenced');
    expect(await link.send(makeOrder('late', 2, -1))).toBe('refused');
  });

  // Guards against an order that is written after the authority was lost: the check passes when
  // the order is queued and fails when the connection is ready.
  it('writes nothing once the authority is lost, even if the request waited to connect', async () => {
    const sending = link.send(makeOrder('one', 1)).then(() => undefined, failureOf);
    isHeld = false;
    expect(await sending).toMatchObject({ kind: 'authority-lost' });
    expect(server.orderHandler.taken).toEqual([]);
  });

  // Guards against a check that runs only for new connections.
  it('writes nothing on an open connection once the authority is lost', async () => {
    await link.readState();
    isHeld = false;
    const failure = await link.send(makeOrder('one', 1)).then(() => undefined, failureOf);
    expect(failure).toMatchObject({ kind: 'authority-lost' });
    expect(server.orderHandler.taken).toEqual([]);
  });

  // Guards against an order that runs twice because its response was lost.
  it('reports after a lost response that the order may have run, and does not retry it', async () => {
    server.faults.enqueue(Fault.LoseResponse);
    const failure = await link.send(makeOrder('one', 1)).then(() => undefined, failureOf);
    expect(failure).toMatchObject({ kind: 'endpoint-failed', mayHaveRun: true });
    expect(server.orderHandler.taken.length).toBe(1);
    expect((await link.readState()).lastOrder).toBe('one');
  });

  // Guards against an uncaught error that ends the process when an engine is not reachable.
  it('reports an order to an engine that refuses connections as not run', async () => {
    await server.close();
    const failure = await link.send(makeOrder('one', 1)).then(() => undefined, failureOf);
    expect(failure).toMatchObject({ kind: 'endpoint-failed', mayHaveRun: false });
  });
});
