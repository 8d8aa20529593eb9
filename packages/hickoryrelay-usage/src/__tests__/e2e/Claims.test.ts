import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Fault } from 'hickoryrelay-standin/FaultPlan';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

import type { Instance } from 'hickoryrelay-instance/Instance';
import type { ServiceStandIn } from 'hickoryrelay-standin/ServiceStandIn';

// Guards against a booking that runs twice because its retry reaches another instance.
describe('claims over the etcd gateway', () => {
  const federation = new LocalFederation();
  let service: ServiceStandIn;
  let key = '';
  let instances: readonly Instance[] = [];

  beforeAll(async () => {
    await federation.start();
    service = await federation.addService('service-1', 'service', 'zone-a');
    const document = sampleDeclarations();
    key = federation.issueKey(document, 'first');
    await federation.apply(document);
    instances = [
      await federation.addInstance('entry-1', 'zone-a'),
      await federation.addInstance('entry-2', 'zone-a'),
    ];
  });

  afterAll(() => federation.stop());

  async function postBooking(index: number, idempotencyKey: string, item: number) {
    const instance = instances[index];
    const response = await request(`${instance && federation.urlOf(instance)}/services/book/new`, {
      method: 'POST',
      headers: {
        ...{ authorization: `Bearer ${key}`, 'content-type': 'application/json' },
        'idempotency-key': idempotencyKey,
      },
      body: JSON.stringify({ item }),
    });
    return { status: response.statusCode, text: await response.body.text() };
  }

  it('returns the stored response from any instance', async () => {
    const first = await postBooking(0, 'one', 1);
    const runs = service.received.length;
    expect(first.status).toBe(200);
    expect(await postBooking(1, 'one', 1)).toEqual(first);
    expect(service.received.length).toBe(runs);
  });

  it('rejects the same key with another request', async () => {
    await postBooking(0, 'two', 1);
    expect((await postBooking(1, 'two', 2)).text).toContain('idempotency-conflict');
  });

  it('resolves a lost response to the claim by reading the claim', async () => {
    await postBooking(0, 'warm', 1);
    federation.gateway.faults.enqueue(Fault.LoseResponse);
    const runs = service.received.length;
    expect((await postBooking(0, 'lost', 1)).status).toBe(200);
    expect(service.received.length).toBe(runs + 1);
  });

  it('rejects calls as not run while the key-value service is unavailable', async () => {
    federation.gateway.faults.defaultFault = Fault.Refuse;
    const runs = service.received.length;
    const rejected = await postBooking(0, 'out', 1);
    federation.gateway.faults.defaultFault = Fault.None;
    expect(rejected.text).toContain('"not_run":true');
    expect(service.received.length).toBe(runs);
  });
});
