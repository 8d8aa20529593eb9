import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Fault } from 'hickoryrelay-standin/FaultPlan';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

import type { Instance } from '../../Instance.js';

describe('instances linked over WebSockets', () => {
  const federation = new LocalFederation();
  const document = sampleDeclarations();
  let key = '';

  beforeAll(async () => {
    await federation.start();
    await federation.addService('service-1', 'service', 'zone-a');
    key = federation.issueKey(document, 'first');
    await federation.apply(document);
    for (const name of ['entry-1', 'entry-2', 'entry-3']) {
      await federation.addInstance(name, 'zone-a');
    }
  });

  afterAll(() => federation.stop());

  const requestStatus = async (instance: Instance) => {
    const { statusCode, body } = await request(`${federation.urlOf(instance)}/v1/models`, {
      headers: { authorization: `Bearer ${key}` },
    });
    await body.dump();
    return statusCode;
  };

  // Guards against an instance that cannot start without the key-value service.
  it('starts an instance from its peers while the key-value service is unavailable', async () => {
    federation.gateway.faults.defaultFault = Fault.Refuse;
    const instance = await federation.addInstance('entry-4', 'zone-a');
    expect(instance.view.revision).toBe(1);
    expect(instance.view.ageMilliseconds).toBeLessThan(Infinity);
    federation.gateway.faults.defaultFault = Fault.None;
  });

  // Guards against an instance that finds no peers because the instance list is unavailable.
  it('starts an instance from a seed while key-value service and list are unavailable', async () => {
    const seed = { name: 'entry-1', url: federation.platform.instances.get('entry-1')?.peersUrl };
    federation.gateway.faults.defaultFault = Fault.Refuse;
    federation.platform.isInstanceListUnavailable = true;
    const peers = { address: '127.0.0.1', port: 0, seeds: [seed] };
    const instance = await federation.addInstance('entry-5', 'zone-a', { peers });
    expect(instance.view.revision).toBe(1);
    federation.gateway.faults.defaultFault = Fault.None;
    federation.platform.isInstanceListUnavailable = false;
  });

  // Guards against a withdrawn key that stays valid at an instance whose watch has stalled.
  it('distributes the withdrawal of a key to every instance while all watches are silent', async () => {
    federation.gateway.silencesWatches = true;
    const statusesBefore = await Promise.all(federation.instances.map(requestStatus));
    expect(new Set(statusesBefore)).toEqual(new Set([200]));
    document.accounts.forEach(({ keys }) =>
      keys?.forEach((each, index) => keys.splice(index, 1, { ...each, withdrawn: true })),
    );
    await federation.apply(document);
    await federation.waitUntil(() => federation.instances.every(({ view }) => view.revision === 2));
    const statusesAfter = await Promise.all(federation.instances.map(requestStatus));
    expect(new Set(statusesAfter)).toEqual(new Set([401]));
  });
});
