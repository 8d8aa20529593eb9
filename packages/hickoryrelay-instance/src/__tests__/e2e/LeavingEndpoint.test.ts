import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

import type { EngineStandIn } from 'hickoryrelay-standin/EngineStandIn';

const CALLS = 20;

describe('an endpoint that is leaving', () => {
  const federation = new LocalFederation();
  let leaving: EngineStandIn;
  let staying: EngineStandIn;
  let key = '';

  beforeAll(async () => {
    await federation.start();
    const times = { prefillRate: 100_000, decodeMilliseconds: 1 };
    const place = { kind: 'engine', zone: 'zone-a', models: ['model-one'], times };
    leaving = await federation.addEngine('engine-1', place);
    staying = await federation.addEngine('engine-2', place);
    const document = sampleDeclarations();
    key = federation.issueKey(document, 'first');
    await federation.apply(document);
    await federation.addInstance('entry-1', 'zone-a');
  });

  afterAll(() => federation.stop());

  async function ask(): Promise<void> {
    const [instance] = federation.instances;
    const url = instance === undefined ? '' : federation.urlOf(instance);
    const response = await request(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
      body: JSON.stringify({ model: 'model-one', messages: [], max_tokens: 1 }),
    });
    await response.body.dump();
    expect(response.statusCode).toBe(200);
  }

  it('gets no new work once the list says so, and the others take all (guards against late work)', async () => {
    const listed = federation.platform.endpoints.get('engine-1');
    expect(listed).toBeDefined();
    if (listed !== undefined) {
      federation.platform.endpoints.set('engine-1', { ...listed, state: 'leaving' });
    }
    const [instance] = federation.instances;
    await federation.waitUntil(() => instance?.fleet.find('engine-1')?.state === 'leaving');
    const before = leaving.received.length;
    for (let call = 0; call < CALLS; call += 1) {
      await ask();
    }
    expect(leaving.received.length).toBe(before);
    expect(staying.received.length).toBeGreaterThanOrEqual(CALLS);
  });
});
