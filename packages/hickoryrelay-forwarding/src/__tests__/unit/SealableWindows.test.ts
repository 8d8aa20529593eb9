import { describe, expect, it } from 'vitest';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { ConfirmedView } from 'hickoryrelay-forwarding/ConfirmedView';
import { SealableWindows } from 'hickoryrelay-forwarding/SealableWindows';
import { UsageSeals } from 'hickoryrelay-forwarding/UsageSeals';
import { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';

import { HEARTBEAT_MILLISECONDS } from './ForwardingFixture.js';
import { InMemoryPeerNetwork, makePeer } from './InMemoryPeerNetwork.js';
import { RestorableStore, RestorableStoreClient } from './RestorableStore.js';
import {
  DUE_MILLISECONDS,
  LEASE_MILLISECONDS,
  WINDOW_MILLISECONDS,
} from './UsageRestoreFixture.js';

const START_MILLISECONDS = 1_700_000_000_000;

/** Two instances at a store that can be restored. The first one holds the authority. */
function makeInstances(timeToLiveSeconds = 6000, marginMilliseconds = 0) {
  const clock = new ManualClock(START_MILLISECONDS);
  const store = new RestorableStore(clock);
  const network = new InMemoryPeerNetwork();
  const instances = [0, 1].map((index) => {
    const self = makePeer(index, 'zone-a');
    const client = new RestorableStoreClient(store, clock);
    const shared = { clock, windowMilliseconds: WINDOW_MILLISECONDS, log: silentLogger };
    const seals = new UsageSeals({
      ...shared,
      self,
      channel: network.channelOf(self),
      view: new ConfirmedView(clock, HEARTBEAT_MILLISECONDS),
      random: new SeededRandomSource(index),
      dueMilliseconds: DUE_MILLISECONDS,
    });
    const windows = new SealableWindows({ ...shared, store: client, seals });
    windows.listen();
    return { client, windows, seals };
  });
  const term = new AuthorityTerm(
    { zone: 'z', holder: 'first', fencingNumber: 1, lease: '1' },
    clock,
    { requestedMilliseconds: 0, timeToLiveSeconds, marginMilliseconds },
  );
  return { clock, store, instances, term };
}

describe('SealableWindows', () => {
  // Guards against giving up a window that ended while the store was away.
  it.each([
    { expiry: 'while its term is held', timeToLiveSeconds: 6000, isKnown: true },
    { expiry: 'within the margin after its term', timeToLiveSeconds: 10.2, isKnown: true },
    { expiry: 'after its lease', timeToLiveSeconds: 9.8, isKnown: false },
  ])(
    'keep a window open that the holder knows not to have been sealed $expiry',
    async ({ timeToLiveSeconds, isKnown }) => {
      const { clock, store, instances, term } = makeInstances(timeToLiveSeconds, 500);
      const [first, second] = instances;
      first?.windows.beginTerm(term);
      first?.client.era.onRestore(() => term.end());
      await Promise.all(instances.map(({ client }) => client.get('/any')));
      await clock.advance(2 * WINDOW_MILLISECONDS - 1000);
      store.takeCopy();
      const sealedWindow = START_MILLISECONDS / WINDOW_MILLISECONDS;
      first?.seals.record(sealedWindow, { account: 1 });
      await clock.advance(1000);
      store.restore(1000);
      await Promise.all(instances.map(({ client }) => client.get('/any')));
      await clock.advance(LEASE_MILLISECONDS);
      expect(await second?.windows.firstWindow()).toBe(sealedWindow + (isKnown ? 1 : 2));
    },
  );
});
