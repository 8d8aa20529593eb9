import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { EngineRole } from 'hickoryrelay-endpoint/Engine';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';
import { SPEND_KEY } from 'hickoryrelay-zone/ZoneKeyUtils';

import type { EngineStandIn } from 'hickoryrelay-standin/EngineStandIn';

const ZONE = 'zone-a';
const ROLES = [EngineRole.Prefill, EngineRole.Decode, EngineRole.Decode];
const MAXIMUM_ROUNDS = 120;
const ROUND_MILLISECONDS = 500;

describe('the demand of a zone', () => {
  const federation = new LocalFederation();
  const engines: EngineStandIn[] = [];
  const { platform, gateway } = federation;
  let url = '';
  let key = '';

  beforeAll(async () => {
    await federation.start();
    // The budget allows two engines at 4 each; the demand exceeds that.
    const document = { ...sampleDeclarations(), budget: { costPerHour: 9 } };
    key = federation.issueKey(document, 'first');
    await federation.apply(document);
    for (const [index, role] of ROLES.entries()) {
      const engine = await federation.addEngine(`engine-${index}`, {
        kind: 'engine',
        zone: ZONE,
        models: ['model-one'],
        times: { prefillRate: 1_000_000, decodeMilliseconds: 0 },
      });
      engine.load = { role, prefillRate: 100, decodeRate: 1000 };
      engines.push(engine);
    }
    url = federation.urlOf(await federation.addInstance('entry-1', ZONE));
  });

  afterAll(() => federation.stop());

  const roleOrders = () =>
    engines.flatMap(({ orders }) => orders.taken.map(({ issued }) => issued.order));

  /** Sends a call whose prefill exceeds the capacity of many engines, with hardly any decode. */
  async function sendCall(): Promise<void> {
    const response = await request(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
      body: JSON.stringify({
        model: 'model-one',
        max_tokens: 1,
        messages: [{ role: 'user', content: 'plumb '.repeat(900) }],
      }),
    });
    await response.body.dump();
  }

  // Guards against a zone controller that never issues orders, or that exceeds the budget.
  it('leads to a role change and to supply orders within the budget', async () => {
    for (let round = 0; round < MAXIMUM_ROUNDS && roleOrders().length === 0; round += 1) {
      await sendCall();
      await federation.clock.sleep(ROUND_MILLISECONDS);
    }
    expect(roleOrders()[0]).toMatchObject({ type: 'change-role' });
    expect(engines[0]!.orders.taken).toEqual([]);
    await federation.waitUntil(() => platform.supply.received.length >= 2);
    // Allows several more decisions of the zone controller while the demand lasts.
    for (let round = 0; round < 8; round += 1) {
      await sendCall();
      await federation.clock.sleep(ROUND_MILLISECONDS);
    }
    expect(platform.supply.received.map(({ kind }) => kind)).toEqual(['engine', 'engine']);
    expect(gateway.table.range(SPEND_KEY).values[0]?.value).toBe(`{"${ZONE}":8000}`);
  }, 120_000);
});
