import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Fault } from 'hickoryrelay-standin/FaultPlan';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

import type { Instance } from '../../Instance.js';

describe('instances that are linked over sockets', () => {
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

  const statusOfCall = async (instance: Instance) => {
    const { statusCode, body } = await request(`${federation.urlOf(instance)}/v1/models`, {
      headers: { authorization: `Bearer ${key}` },
    });
    await body.dump();
    return statusCode;
  };

  it('starts an instance from its peers while the key-value service is out', async () => {
    federation.gateway.faults.standing = Fault.Refuse;
    const instance = await federation.addInstance('entry-4', 'zone-a');
    expect(instance.view.revision).toBe(1);
    expect(instance.view.ageMilliseconds).toBeLessThan(Infinity);
    federation.gateway.faults.standing = Fault.None;
  });

  // Guards against an instance that stays alone because it starts while the list is out.
  it('starts an instance from a seed while the key-value service and the list are out', async () => {
    const seed = { name: 'entry-1', url: federation.platform.instances.get('entry-1')?.peersUrl };
    federation.gateway.faults.standing = Fault.Refuse;
    federation.platform.isInstanceListOut = true;
    const peers = { address: '127.0.0.1', port: 0, seeds: [seed] };
    const instance = await federation.addInstance('entry-5', 'zone-a', { peers });
    expect(instance.view.revision).toBe(1);
    federation.gateway.faults.standing = Fault.None;
    federation.platform.isInstanceListOut = false;
  });

  it('brings the withdrawal of a key to every instance, with all watches silent', async () => {
    federation.gateway.silencesWatches = true;
    const before = await Promise.all(federation.instances.map(statusOfCall));
    expect(new Set(before)).toEqual(new Set([200]));
    document.accounts.forEach(({ keys }) =>
      keys?.forEach((each, index) => keys.splice(index, 1, { ...each, withdrawn: true })),
    );
    await federation.apply(document);
    await federation.waitUntil(() => federation.instances.every(({ view }) => view.revision === 2));
    const after = await Promise.all(federation.instances.map(statusOfCall));
    expect(new Set(after)).toEqual(new Set([401]));
  });
});
