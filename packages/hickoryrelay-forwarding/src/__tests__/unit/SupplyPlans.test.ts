import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SupplyPlans } from 'hickoryrelay-forwarding/SupplyPlans';

import { RestorableStore, RestorableStoreClient } from './RestorableStore.js';

const KEY = '/hickoryrelay/supply/plans';
const LIMITS = { minimum: 1, maximum: 50 };

function createStore() {
  const clock = new ManualClock();
  const store = new RestorableStore(clock);
  return { store, client: new RestorableStoreClient(store, clock) };
}

describe('SupplyPlans', () => {
  // Guards against a new holder that orders the maximum, which is handed back a few seconds later.
  it('are continued by the next holder', async () => {
    const { client } = createStore();
    const first = new SupplyPlans(client);
    await first.load(0);
    first.planOf('model').supply.update({ prefill: 20, decode: 8 }, LIMITS, 3);
    first.planOf('model').stages.update({ prefill: 60, decode: 40 });
    await first.save(1000);
    const second = new SupplyPlans(client);
    await second.load(5000);
    expect(second.planOf('model').supply.planned).toBe(14);
    expect(second.planOf('model').stages.current).toBe(0.6);
  });

  it('are not continued after a long time', async () => {
    const { client } = createStore();
    const first = new SupplyPlans(client);
    first.planOf('model').supply.update({ prefill: 20, decode: 8 }, LIMITS, 3);
    await first.save(0);
    const second = new SupplyPlans(client);
    await second.load(400_000);
    expect(second.planOf('model').supply.planned).toBeUndefined();
  });

  // Guards against an odd entry that ends the task or orders an absurd number of engines.
  it.each([
    '',
    'null',
    '[]',
    '{"writtenMilliseconds":0}',
    '{"writtenMilliseconds":0,"plans":{"model":{"enginesPerZone":-1,"prefillShare":0.5}}}',
    '{"writtenMilliseconds":0,"plans":{"model":{"enginesPerZone":1e999,"prefillShare":0.5}}}',
    '{"writtenMilliseconds":0,"plans":{"model":{"enginesPerZone":3,"prefillShare":7}}}',
  ])('begin anew if the stored value is %s', async (value) => {
    const { client } = createStore();
    await client.commit({ compare: [], success: [{ type: 'put', key: KEY, value }], failure: [] });
    const plans = new SupplyPlans(client);
    await plans.load(0);
    expect(plans.planOf('model').supply.planned).toBeUndefined();
    expect(plans.planOf('model').stages.current).toBe(0.45);
  });

  it('are loaded once the store responds', async () => {
    const { store, client } = createStore();
    const plans = new SupplyPlans(client);
    store.isAway = true;
    await expect(plans.load(0)).rejects.toThrow();
    store.isAway = false;
    await plans.load(0);
    expect(plans.planOf('model').supply.planned).toBeUndefined();
  });
});
