import { beforeEach, describe, expect, it } from 'vitest';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { failureOf } from 'hickoryrelay/RelayError';
import { InProcessKeyValueStore } from 'hickoryrelay-standin/InProcessKeyValueStore';
import { KeyValueTable } from 'hickoryrelay-standin/KeyValueTable';
import { ProcessClock } from 'hickoryrelay-standin/ProcessClock';

import { KeyValueClaimRegister } from '../../KeyValueClaimRegister.js';
import { callOf } from './UsageFixture.js';

const RESPONSE = { status: 201, contentType: 'text/plain', body: Buffer.from('booked') };

/** Longer than the time during which no call is claimed after a restore. */
const SETTLE_MILLISECONDS = 11_000;

describe('claims whose store is restored from an older copy', () => {
  let clock: ManualClock;
  let table: KeyValueTable;

  beforeEach(() => {
    clock = new ManualClock();
    table = new KeyValueTable(clock);
  });

  function createInstance() {
    const process = new ProcessClock(clock);
    const store = new InProcessKeyValueStore(table, clock, process);
    const claims = new KeyValueClaimRegister(store, process, silentLogger);
    const register = claims as Partial<KeyValueClaimRegister>;
    register.observeRestores?.();
    return { store, claims };
  }

  type Instance = ReturnType<typeof createInstance>;

  /** Returns the kind of the outcome, or of the failure. */
  async function claim({ claims }: Instance, request: string, key = 'key'): Promise<object> {
    const claiming = claims.claim(callOf(request, key)).catch(failureOf);
    await clock.advance(1000);
    return claiming;
  }

  /** Restores the store. Both instances notice it, as with the next read of the configuration. */
  async function restore(copy: ReturnType<KeyValueTable['copy']>, ...instances: Instance[]) {
    table.restore(copy);
    await Promise.all([
      ...instances.map(({ store }) => store.get('/any')),
      clock.advance(SETTLE_MILLISECONDS),
    ]);
  }

  // Guards against a booking that runs twice because the store has forgotten the first claim.
  it.each([
    ['the same instance', 0, 'pending'],
    ['another instance', 1, 'pending'],
    ['the same instance', 0, 'completed'],
    ['another instance', 1, 'completed'],
  ])('lets no call run again at %s (claim %i, %s)', async (name, index, state) => {
    const instances = [createInstance(), createInstance()] as const;
    await claim(instances[1], 'other', 'other');
    const copy = table.copy();
    expect(await claim(instances[0], 'first')).toEqual({ kind: 'granted' });
    if (state === 'completed') {
      await Promise.all([
        instances[0].claims.store(callOf('first', 'key'), RESPONSE),
        clock.advance(1000),
      ]);
    }
    await restore(copy, ...instances);
    expect(await claim(instances[index]!, 'second')).toMatchObject({
      kind: 'unknown',
      requestIdentifier: 'first',
    });
  });

  // Guards against a result that is lost because its claim was forgotten while the call ran.
  it('stores the response of a call that ran during the restore', async () => {
    const instances = [createInstance(), createInstance()] as const;
    const copy = table.copy();
    await claim(instances[0], 'first');
    await restore(copy, ...instances);
    await Promise.all([
      instances[0].claims.store(callOf('first', 'key'), RESPONSE),
      clock.advance(1000),
    ]);
    expect(await claim(instances[1], 'second')).toEqual({ kind: 'answered', answer: RESPONSE });
  });

  // Guards against a call that runs before the instance with the earlier claim has put it back.
  it('refuses calls as not run until claims have been put back', async () => {
    const instances = [createInstance(), createInstance()] as const;
    await claim(instances[1], 'other', 'other');
    const copy = table.copy();
    await claim(instances[0], 'first');
    table.restore(copy);
    const refusal = { kind: 'platform-unavailable', mayHaveTakenEffect: false };
    expect(await claim(instances[1], 'second')).toMatchObject(refusal);
    expect(await claim(instances[1], 'third')).toMatchObject(refusal);
    await Promise.all([instances[0].store.get('/any'), clock.advance(SETTLE_MILLISECONDS)]);
    expect(await claim(instances[1], 'fourth')).toMatchObject({
      kind: 'unknown',
      requestIdentifier: 'first',
    });
    expect(await claim(instances[1], 'new', 'new key')).toEqual({ kind: 'granted' });
  });
});
