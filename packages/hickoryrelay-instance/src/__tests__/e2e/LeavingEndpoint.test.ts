import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

import type { EngineStandIn } from 'hickoryrelay-standin/EngineStandIn';

const CALL_COUNT = 20;

describe('an endpoint that is leaving', () => {
  const federation = new LocalFederation();
  let leaving: EngineStandIn;
  let staying: EngineStandIn;
  let key = '';

  beforeAll(async () => {
    await federation.start();
    const times = { prefillRate: 100_000, decodeMilliseconds: 1 };
    const options = { kind: 'engine', zone: 'zone-a', models: ['model-one'], times };
    leaving = await federation.addEngine('engine-1', options);
    staying = await federation.addEngine('engine-2', options);
    const document = sampleDeclarations();
    key = federation.issueKey(document, 'first');
    await federation.apply(document);
    await federation.addInstance('entry-1', 'zone-a');
  });

  afterAll(() => federation.stop());

  async function sendCall(): Promise<void> {
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

  // Guards against calls that are sent to an endpoint that is about to stop.
  it('receives no new calls once it is listed as leaving, and the others receive all', async () => {
    const listed = federation.platform.endpoints.get('engine-1');
    expect(listed).toBeDefined();
    if (listed !== undefined) {
      federation.platform.endpoints.set('engine-1', { ...listed, state: 'leaving' });
    }
    const [instance] = federation.instances;
    await federation.waitUntil(() => instance?.fleet.find('engine-1')?.state === 'leaving');
    const receivedBefore = leaving.received.length;
    for (let call = 0; call < CALL_COUNT; call += 1) {
      await sendCall();
    }
    expect(leaving.received.length).toBe(receivedBefore);
    expect(staying.received.length).toBeGreaterThanOrEqual(CALL_COUNT);
  });
});
