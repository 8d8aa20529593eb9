import fastCheck from 'fast-check';
import { describe, expect, it } from 'vitest';
import { FailureKind } from 'hickoryrelay/Failure';
import { invariant } from 'hickoryrelay/Invariant';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { RelayError } from 'hickoryrelay/RelayError';
import { ConfirmedView } from 'hickoryrelay-forwarding/ConfirmedView';
import { UsageCountsRelay } from 'hickoryrelay-forwarding/UsageCountsRelay';
import { UsageCountsTask } from 'hickoryrelay-forwarding/UsageCountsTask';
import { decodeUsageCounts, UsageCountsWriter } from 'hickoryrelay-forwarding/UsageCountsWriter';
import { usageCountsKey } from 'hickoryrelay-forwarding/UsageKeys';
import { UsageTally } from 'hickoryrelay-forwarding/UsageTally';
import { ZoneRelaySelector } from 'hickoryrelay-forwarding/ZoneRelaySelector';
import { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';
import { StoreEra } from 'hickoryrelay-platform/StoreEra';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

import { HEARTBEAT_MILLISECONDS } from './ForwardingFixture.js';
import { InMemoryPeerNetwork, makePeer } from './InMemoryPeerNetwork.js';

import type { PeerRecord } from 'hickoryrelay-forwarding/PeerRecord';
import type { UsageCounts } from 'hickoryrelay-forwarding/UsageCountsWriter';
import type {
  KeyValue,
  LeaseGrant,
  RangeResult,
  Transaction,
  TransactionResult,
  WatchBatch,
} from 'hickoryrelay-platform/KeyValueStore';

/** Simulated outcome of a write. */
const WriteOutcome = {
  Succeeded: 'succeeded',
  /** Has no effect and gets no response. */
  RequestLost: 'request-lost',
  /** Takes effect and gets no response. */
  ResponseLost: 'response-lost',
  /** Gets no response and takes effect when the test applies it. */
  Delayed: 'delayed',
} as const;

type WriteOutcome = (typeof WriteOutcome)[keyof typeof WriteOutcome];

/** Supports conditional writes and ranges in memory, with the outcome that the test sets. */
class InMemoryStore extends KeyValueStore {
  override readonly era = new StoreEra(new ManualClock());

  outcome: WriteOutcome = WriteOutcome.Succeeded;

  readonly items = new Map<string, KeyValue>();

  writes = 0;

  private revision = new StoreRevision(1, 1);

  private copy: ReadonlyMap<string, KeyValue> = new Map();

  private copiedRevision = this.revision;

  private readonly delayedTransactions: Transaction[] = [];

  override range(prefix: string): Promise<RangeResult> {
    this.era.observe(this.revision.era);
    const values = [...this.items.values()].filter(({ key }) => key.startsWith(prefix));
    return Promise.resolve({ revision: this.revision, values });
  }

  override commit(transaction: Transaction): Promise<TransactionResult> {
    this.writes += 1;
    if (this.outcome === WriteOutcome.Delayed) {
      this.delayedTransactions.push(transaction);
    }
    if (this.outcome === WriteOutcome.RequestLost || this.outcome === WriteOutcome.Delayed) {
      return Promise.reject(this.noResponse());
    }
    const result = this.execute(transaction);
    if (this.outcome === WriteOutcome.ResponseLost) {
      return Promise.reject(this.noResponse());
    }
    this.era.observe(this.revision.era);
    return Promise.resolve(result);
  }

  /** Copies the current state for a later restore. */
  takeCopy(): void {
    this.copy = new Map(this.items);
    this.copiedRevision = this.revision;
  }

  /** Restores the last copy, or the empty store, and assigns the revisions after it again. */
  restore(): void {
    const era = this.revision.era + 1;
    const inEra = ({ number }: StoreRevision) => new StoreRevision(era, number);
    this.items.clear();
    for (const [key, item] of this.copy) {
      const { createRevision, modRevision } = item;
      this.items.set(key, {
        ...item,
        createRevision: inEra(createRevision),
        modRevision: inEra(modRevision),
      });
    }
    this.revision = inEra(this.copiedRevision);
  }

  applyDelayed(): void {
    this.delayedTransactions.splice(0).forEach((transaction) => this.execute(transaction));
  }

  totalOf(key: string): number {
    const value = this.items.get(key)?.value;
    const counts = value === undefined ? {} : (decodeUsageCounts(value)?.counts ?? {});
    return Object.values(counts).reduce((sum, count) => sum + count, 0);
  }

  override grantLease(): Promise<LeaseGrant> {
    return Promise.reject(this.noResponse());
  }

  override keepLeaseAlive(): Promise<number> {
    return Promise.reject(this.noResponse());
  }

  override revokeLease(): Promise<void> {
    return Promise.reject(this.noResponse());
  }

  override watch(): AsyncGenerator<WatchBatch, void, void> {
    throw this.noResponse();
  }

  private execute({ compare, success }: Transaction): TransactionResult {
    const holds = compare.every(
      ({ key, operand }) =>
        operand instanceof StoreRevision &&
        operand.number === (this.items.get(key)?.modRevision ?? StoreRevision.None).number,
    );
    if (holds) {
      this.revision = this.revision.next;
      for (const operation of success) {
        if (operation.type === 'put') {
          const { key, value } = operation;
          const createRevision = this.items.get(key)?.createRevision ?? this.revision;
          const modRevision = this.revision;
          this.items.set(key, { key, value, createRevision, modRevision, version: 1 });
        }
      }
    }
    return { succeeded: holds, revision: this.revision, results: [] };
  }

  private noResponse(): RelayError {
    return new RelayError({
      kind: FailureKind.PlatformUnavailable,
      service: 'key-value service',
      reason: `no response, outcome ${this.outcome}`,
      mayHaveTakenEffect: true,
    });
  }
}

const WINDOW_MILLISECONDS = 5000;

const usageOf = (incarnation: string, count: number, isFinal = false): UsageCounts => ({
  window: 1,
  incarnation,
  counts: { account: count },
  isFinal,
});

describe('UsageCountsWriter', () => {
  // Guards against a comparison with a revision that the store has assigned to other counts since.
  it('does not replace counts that have the revision of a write from before a restore', async () => {
    const store = new InMemoryStore();
    const writer = new UsageCountsWriter(store);
    await writer.write([usageOf('a', 3)]);
    store.restore();
    await new UsageCountsWriter(store).write([usageOf('a', 5)]);
    await writer.write([usageOf('a', 4)]);
    expect(store.totalOf(usageCountsKey(1, 'a'))).toBe(5);
  });

  // Guards against a delayed write that replaces counts by earlier ones.
  it('never lowers stored counts, in any order of writers, lost responses and delayed writes', async () => {
    const stepArbitrary = fastCheck.record({
      writer: fastCheck.nat(1),
      incarnation: fastCheck.constantFrom('a', 'b'),
      outcome: fastCheck.constantFrom(
        WriteOutcome.Succeeded,
        WriteOutcome.Succeeded,
        WriteOutcome.RequestLost,
        WriteOutcome.ResponseLost,
        WriteOutcome.Delayed,
      ),
      grows: fastCheck.boolean(),
      appliesDelayed: fastCheck.boolean(),
    });
    await fastCheck.assert(
      fastCheck.asyncProperty(fastCheck.array(stepArbitrary, { maxLength: 30 }), async (steps) => {
        const store = new InMemoryStore();
        const writers = [new UsageCountsWriter(store), new UsageCountsWriter(store)];
        const currentCounts = new Map([
          ['a', 1],
          ['b', 1],
        ]);
        const highest = new Map<string, number>();
        for (const { writer, incarnation, outcome, grows, appliesDelayed } of steps) {
          const count = (currentCounts.get(incarnation) ?? 0) + Number(grows);
          currentCounts.set(incarnation, count);
          store.outcome = outcome;
          const isStored = await (writers[writer] as UsageCountsWriter)
            .write([usageOf(incarnation, count)])
            .then(
              () => true,
              () => false,
            );
          const key = usageCountsKey(1, incarnation);
          if (isStored) {
            expect(store.totalOf(key)).toBeGreaterThanOrEqual(count);
          }
          if (appliesDelayed) {
            store.applyDelayed();
          }
          for (const name of ['a', 'b']) {
            const total = store.totalOf(usageCountsKey(1, name));
            expect(total).toBeGreaterThanOrEqual(highest.get(name) ?? 0);
            highest.set(name, total);
          }
        }
      }),
    );
  });

  it('stores that counts are final even if they have not grown', async () => {
    const store = new InMemoryStore();
    await new UsageCountsWriter(store).write([usageOf('a', 3)]);
    await new UsageCountsWriter(store).write([usageOf('a', 3, true)]);
    expect(decodeUsageCounts(store.items.get(usageCountsKey(1, 'a'))?.value ?? '')?.isFinal).toBe(
      true,
    );
    await new UsageCountsWriter(store).write([usageOf('a', 3)]);
    expect(decodeUsageCounts(store.items.get(usageCountsKey(1, 'a'))?.value ?? '')?.isFinal).toBe(
      true,
    );
  });

  it('splits large writes into several transactions', async () => {
    const store = new InMemoryStore();
    const entries = Array.from({ length: 40 }, (_unused, index) => usageOf(`i-${index}`, 1));
    await new UsageCountsWriter(store).write(entries);
    expect(store.items.size).toBe(40);
  });
});

/** An instance that writes its counts directly to the store. */
function makeSingleInstance() {
  const { clock, store, relays } = makeZone(1);
  const tally = new UsageTally(WINDOW_MILLISECONDS);
  const lifecycle = new LifecycleManager('test', clock, () => {});
  const [relay] = relays;
  invariant(relay !== undefined, 'The zone has no instance.');
  lifecycle.start(
    new UsageCountsTask({
      incarnation: 'single',
      relay,
      era: store.era,
      tally,
      windowMilliseconds: WINDOW_MILLISECONDS,
      dueMilliseconds: WINDOW_MILLISECONDS,
      countInstances: () => 1,
      random: new SeededRandomSource(1),
      log: silentLogger,
    }),
  );
  /** Counts requests that start now. */
  const count = (requests: number) => {
    for (let request = 0; request < requests; request += 1) {
      tally.add('account', clock.wallMilliseconds());
    }
  };
  const key = usageCountsKey(tally.windowAt(clock.wallMilliseconds()), 'single');
  return { clock, store, count, key, lifecycle };
}

describe('UsageCountsTask', () => {
  // Guards against a window that is reported too low because counts were written before a restore.
  it('writes counts again that a restored store has lost', async () => {
    const { clock, store, count, key, lifecycle } = makeSingleInstance();
    count(4);
    await clock.advance(1500);
    expect(store.totalOf(key)).toBe(4);
    store.restore();
    expect(store.totalOf(key)).toBe(0);
    await store.get('/observes/the/era');
    await clock.advance(900);
    expect(store.totalOf(key)).toBe(4);
    await lifecycle.stop();
  });

  it('writes counts again although the restored store has earlier ones', async () => {
    const { clock, store, count, key, lifecycle } = makeSingleInstance();
    count(2);
    await clock.advance(1500);
    store.takeCopy();
    count(3);
    await clock.advance(1500);
    expect(store.totalOf(key)).toBe(5);
    store.restore();
    await store.get('/observes/the/era');
    await clock.advance(900);
    expect(store.totalOf(key)).toBe(5);
    await lifecycle.stop();
  });
});

/** Instances of one zone that write their counts through the relay, which is the first of them. */
function makeZone(size: number) {
  const clock = new ManualClock();
  const network = new InMemoryPeerNetwork();
  const store = new InMemoryStore();
  const peers = Array.from({ length: size }, (_unused, index) =>
    makePeer(index, 'zone-a', index === 0 ? 1 : 0.3),
  );
  let starts = 0;
  const start = (self: PeerRecord) => {
    starts += 1;
    const view = new ConfirmedView(clock, HEARTBEAT_MILLISECONDS);
    view.apply({ configuration: undefined, endpoints: [], peers, isAuthorityHeld: false }, 0);
    const relay = new UsageCountsRelay({
      self,
      channel: network.channelOf(self),
      view,
      relaySelector: new ZoneRelaySelector(self.instance),
      writer: new UsageCountsWriter(store),
      clock,
      random: new SeededRandomSource(starts),
      log: silentLogger,
    });
    relay.listen();
    return relay;
  };
  const relays = peers.map(start);
  /** Restarts an instance with empty state. */
  const restart = (index: number) => start(peers[index] as PeerRecord);
  const storeAll = async () => {
    const written = Promise.all(
      relays.map((relay, index) => relay.store(usageOf(`i-${index}`, index + 1))),
    );
    await clock.advance(1000);
    await written;
  };
  return { clock, network, store, relays, storeAll, restart };
}

/** Writes or hands off the counts of an instance that stops in window 1. */
function finish(
  relay: UsageCountsRelay | undefined,
  store: KeyValueStore,
  tally = new UsageTally(WINDOW_MILLISECONDS),
): Promise<void> {
  invariant(relay !== undefined, 'The zone has no such instance.');
  const task = new UsageCountsTask({
    incarnation: 'finished',
    relay,
    era: store.era,
    tally,
    windowMilliseconds: WINDOW_MILLISECONDS,
    dueMilliseconds: WINDOW_MILLISECONDS,
    countInstances: () => 1,
    random: new SeededRandomSource(1),
    log: silentLogger,
  });
  return task.finish(WINDOW_MILLISECONDS);
}

describe('UsageCountsRelay', () => {
  it('writes the counts of all instances of a zone in one transaction', async () => {
    const { store, storeAll } = makeZone(8);
    await storeAll();
    expect(store.items.size).toBe(8);
    expect(store.writes).toBe(1);
    expect(store.totalOf(usageCountsKey(1, 'i-7'))).toBe(8);
  });

  it('writes the counts of each instance directly in a small zone', async () => {
    const { store, storeAll } = makeZone(3);
    await storeAll();
    expect(store.writes).toBe(3);
  });

  // Guards against losing counts if the relay is unreachable or does not write them.
  it('writes counts directly if the relay does not confirm them', async () => {
    const { network, store, storeAll } = makeZone(6);
    network.isDelivered = (from, to) => from !== 0 && to !== 0;
    await storeAll();
    expect(store.items.size).toBe(6);
  });

  // Guards against matching a delayed confirmation from before a restart to a new report.
  it('writes counts directly if only a confirmation from before a restart arrives', async () => {
    const { clock, network, store, relays, restart } = makeZone(6);
    let delayedConfirmation: Buffer = Buffer.alloc(0);
    network.observe = (from, to, bytes) => {
      delayedConfirmation = from === 0 && to === 2 ? bytes : delayedConfirmation;
    };
    void relays[2]?.store(usageOf('old', 1));
    await clock.advance(1000);
    network.observe = (from, to) => {
      if (from === 2 && to === 0) {
        network.deliverLate(2, delayedConfirmation);
      }
    };
    network.isDelivered = (from, to) => from !== 0 && to !== 0;
    const written = restart(2).store(usageOf('new', 5));
    await clock.advance(2000);
    await written;
    expect(store.totalOf(usageCountsKey(1, 'new'))).toBe(5);
  });

  it('does not confirm counts that were not written', async () => {
    const { store, clock, relays } = makeZone(6);
    store.outcome = WriteOutcome.RequestLost;
    const written = relays[2]?.store(usageOf('i-2', 1)).then(
      () => 'stored',
      () => 'failed',
    );
    await clock.advance(2000);
    expect(await written).toBe('failed');
  });

  // Guards against losing the counts of an instance that stops during a store outage.
  it('writes the counts of a stopped instance after the store outage', async () => {
    const { store, clock, relays } = makeZone(3);
    const [first, second, third] = relays;
    store.outcome = WriteOutcome.RequestLost;
    const taken = first?.handOff(usageOf('i-0', 4, true));
    await clock.advance(10);
    expect(await taken).toBe(true);
    const writeAll = (oldest: number) =>
      Promise.allSettled([second?.writeRetained(oldest), third?.writeRetained(oldest)]);
    await writeAll(1);
    expect(store.items.size).toBe(0);
    store.outcome = WriteOutcome.Succeeded;
    await writeAll(1);
    expect(store.totalOf(usageCountsKey(1, 'i-0'))).toBe(4);
  });

  // Guards against losing counts that the relay has written for an instance that is gone since.
  it('writes the counts of other instances again that a restored store has lost', async () => {
    const { store, clock, relays, storeAll } = makeZone(6);
    await storeAll();
    store.restore();
    await store.get('/observes/the/era');
    const written = Promise.all(relays.map((relay) => relay.writeRetained(1)));
    await clock.advance(1000);
    await written;
    expect(store.items.size).toBe(5);
    expect(store.totalOf(usageCountsKey(1, 'i-3'))).toBe(4);
  });

  it('writes the counts of a stopped instance again that a restored store has lost', async () => {
    const { store, clock, relays } = makeZone(3);
    const [first, second, third] = relays;
    const taken = first?.handOff(usageOf('i-0', 4, true));
    await clock.advance(10);
    expect(await taken).toBe(true);
    const writeAll = (oldest: number) =>
      Promise.all([second?.writeRetained(oldest), third?.writeRetained(oldest)]);
    await writeAll(1);
    store.restore();
    await store.get('/observes/the/era');
    await writeAll(1);
    expect(store.totalOf(usageCountsKey(1, 'i-0'))).toBe(4);
    store.restore();
    await store.get('/observes/the/era');
    await writeAll(2);
    expect(store.items.size).toBe(0);
  });

  it('does not lose the counts of a stopped instance when the instance that took them over stops', async () => {
    const { store, clock, network, relays } = makeZone(4);
    const [first, second, third, fourth] = relays;
    store.outcome = WriteOutcome.RequestLost;
    const taken = first?.handOff(usageOf('i-0', 4, true));
    await clock.advance(10);
    expect(await taken).toBe(true);
    network.isDelivered = (from, to) => from !== 0 && to !== 0;
    const finished = finish(second, store);
    await clock.advance(10);
    const takenLate = fourth?.handOff(usageOf('i-3', 3, true));
    await clock.advance(5000);
    await finished;
    expect(await takenLate).toBe(true);
    store.outcome = WriteOutcome.Succeeded;
    await third?.writeRetained(1);
    expect(store.totalOf(usageCountsKey(1, 'i-0'))).toBe(4);
    expect(store.totalOf(usageCountsKey(1, 'i-3'))).toBe(3);
  });
});
