import fastCheck from 'fast-check';
import { describe, expect, it } from 'vitest';
import { FailureKind } from 'hickoryrelay/Failure';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { RelayError } from 'hickoryrelay/RelayError';
import { ConfirmedView } from 'hickoryrelay-forwarding/ConfirmedView';
import { partKey } from 'hickoryrelay-forwarding/UsageKeys';
import { UsagePartRelay } from 'hickoryrelay-forwarding/UsagePartRelay';
import { decodePart, UsagePartWriter } from 'hickoryrelay-forwarding/UsagePartWriter';
import { ZoneRelays } from 'hickoryrelay-forwarding/ZoneRelays';
import { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';

import { HEARTBEAT_MILLISECONDS } from './ForwardingFixture.js';
import { makePeer, PeerNetwork } from './PeerNetwork.js';

import type { PeerRecord } from 'hickoryrelay-forwarding/PeerRecord';
import type { UsagePart } from 'hickoryrelay-forwarding/UsagePartWriter';
import type {
  KeyValue,
  LeaseGrant,
  RangeResult,
  Transaction,
  TransactionResult,
  WatchBatch,
} from 'hickoryrelay-platform/KeyValueStore';

/** What becomes of a write. */
const WriteFate = {
  Answered: 'answered',
  /** Does nothing and has no answer. */
  Lost: 'lost',
  /** Takes effect and has no answer. */
  Unanswered: 'unanswered',
  /** Has no answer and takes effect when the test says so. */
  Late: 'late',
} as const;

type WriteFate = (typeof WriteFate)[keyof typeof WriteFate];

/** Conditional writes and ranges in memory, each write with the fate that the test sets. */
class WriteModel extends KeyValueStore {
  fate: WriteFate = WriteFate.Answered;

  readonly items = new Map<string, KeyValue>();

  writes = 0;

  private revision = 1;

  private readonly late: Transaction[] = [];

  override range(prefix: string): Promise<RangeResult> {
    const values = [...this.items.values()].filter(({ key }) => key.startsWith(prefix));
    return Promise.resolve({ revision: this.revision, values });
  }

  override commit(transaction: Transaction): Promise<TransactionResult> {
    this.writes += 1;
    if (this.fate === WriteFate.Late) {
      this.late.push(transaction);
    }
    if (this.fate === WriteFate.Lost || this.fate === WriteFate.Late) {
      return Promise.reject(this.unanswered());
    }
    const result = this.execute(transaction);
    return this.fate === WriteFate.Unanswered
      ? Promise.reject(this.unanswered())
      : Promise.resolve(result);
  }

  runLate(): void {
    this.late.splice(0).forEach((transaction) => this.execute(transaction));
  }

  totalOf(key: string): number {
    const value = this.items.get(key)?.value;
    const counts = value === undefined ? {} : decodePart(value).counts;
    return Object.values(counts).reduce((sum, count) => sum + count, 0);
  }

  override grantLease(): Promise<LeaseGrant> {
    return Promise.reject(this.unanswered());
  }

  override keepLeaseAlive(): Promise<number> {
    return Promise.reject(this.unanswered());
  }

  override revokeLease(): Promise<void> {
    return Promise.reject(this.unanswered());
  }

  override watch(): AsyncGenerator<WatchBatch, void, void> {
    throw this.unanswered();
  }

  private execute({ compare, success }: Transaction): TransactionResult {
    const holds = compare.every(
      ({ key, operand }) => (this.items.get(key)?.modRevision ?? 0) === operand,
    );
    if (holds) {
      this.revision += 1;
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

  private unanswered(): RelayError {
    return new RelayError({
      kind: FailureKind.PlatformUnavailable,
      service: 'key-value service',
      reason: `the write was ${this.fate}`,
      mayHaveTakenEffect: true,
    });
  }
}

const partOf = (incarnation: string, count: number, isFinal = false): UsagePart => ({
  window: 1,
  incarnation,
  counts: { account: count },
  isFinal,
});

describe('the writer of usage counts', () => {
  // Guards against a write that takes effect late and replaces counts by earlier ones.
  it('never lowers what is stored, in any order of writers, lost answers and late effects', async () => {
    const stepArbitrary = fastCheck.record({
      writer: fastCheck.nat(1),
      incarnation: fastCheck.constantFrom('a', 'b'),
      fate: fastCheck.constantFrom(
        WriteFate.Answered,
        WriteFate.Answered,
        WriteFate.Lost,
        WriteFate.Unanswered,
        WriteFate.Late,
      ),
      grows: fastCheck.boolean(),
      runsLate: fastCheck.boolean(),
    });
    await fastCheck.assert(
      fastCheck.asyncProperty(fastCheck.array(stepArbitrary, { maxLength: 30 }), async (steps) => {
        const store = new WriteModel();
        const writers = [new UsagePartWriter(store), new UsagePartWriter(store)];
        const counted = new Map([
          ['a', 1],
          ['b', 1],
        ]);
        const highest = new Map<string, number>();
        for (const { writer, incarnation, fate, grows, runsLate } of steps) {
          const count = (counted.get(incarnation) ?? 0) + Number(grows);
          counted.set(incarnation, count);
          store.fate = fate;
          const isStored = await (writers[writer] as UsagePartWriter)
            .write([partOf(incarnation, count)])
            .then(
              () => true,
              () => false,
            );
          const key = partKey(1, incarnation);
          if (isStored) {
            expect(store.totalOf(key)).toBeGreaterThanOrEqual(count);
          }
          if (runsLate) {
            store.runLate();
          }
          for (const name of ['a', 'b']) {
            const total = store.totalOf(partKey(1, name));
            expect(total).toBeGreaterThanOrEqual(highest.get(name) ?? 0);
            highest.set(name, total);
          }
        }
      }),
    );
  });

  it('marks counts as final also when they have not grown', async () => {
    const store = new WriteModel();
    await new UsagePartWriter(store).write([partOf('a', 3)]);
    await new UsagePartWriter(store).write([partOf('a', 3, true)]);
    expect(decodePart(store.items.get(partKey(1, 'a'))?.value ?? '').isFinal).toBe(true);
    await new UsagePartWriter(store).write([partOf('a', 3)]);
    expect(decodePart(store.items.get(partKey(1, 'a'))?.value ?? '').isFinal).toBe(true);
  });

  it('takes more parts than one transaction', async () => {
    const store = new WriteModel();
    const parts = Array.from({ length: 40 }, (_unused, index) => partOf(`i-${index}`, 1));
    await new UsagePartWriter(store).write(parts);
    expect(store.items.size).toBe(40);
  });
});

/** Instances of one zone that write their counts over the relay, which is the first. */
function makeZone(size: number) {
  const clock = new ManualClock();
  const network = new PeerNetwork();
  const store = new WriteModel();
  const peers = Array.from({ length: size }, (_unused, index) =>
    makePeer(index, 'zone-a', index === 0 ? 1 : 0.3),
  );
  let starts = 0;
  const start = (self: PeerRecord) => {
    starts += 1;
    const view = new ConfirmedView(clock, HEARTBEAT_MILLISECONDS);
    view.apply({ configuration: undefined, endpoints: [], peers, isAuthorityHeld: false }, 0);
    const relay = new UsagePartRelay({
      self,
      channel: network.channelOf(self),
      view,
      relays: new ZoneRelays(self.instance),
      writer: new UsagePartWriter(store),
      clock,
      random: new SeededRandomSource(starts),
      log: silentLogger,
    });
    relay.listen();
    return relay;
  };
  const relays = peers.map(start);
  /** Starts an instance again, without anything that it knew. */
  const restart = (index: number) => start(peers[index] as PeerRecord);
  const storeAll = async () => {
    const written = Promise.all(
      relays.map((relay, index) => relay.store(partOf(`i-${index}`, index + 1))),
    );
    await clock.advance(1000);
    await written;
  };
  return { clock, network, store, relays, storeAll, restart };
}

describe('the relay of usage counts', () => {
  it('writes the counts of all instances of a zone at once', async () => {
    const { store, storeAll } = makeZone(8);
    await storeAll();
    expect(store.items.size).toBe(8);
    expect(store.writes).toBe(1);
    expect(store.totalOf(partKey(1, 'i-7'))).toBe(8);
  });

  it('leaves few instances to write their own', async () => {
    const { store, storeAll } = makeZone(3);
    await storeAll();
    expect(store.writes).toBe(3);
  });

  // Guards against counts that are lost with a relay that cannot be reached or does not write.
  it('has an instance write its counts itself when they are not confirmed', async () => {
    const { network, store, storeAll } = makeZone(6);
    network.arrives = (from, to) => from !== 0 && to !== 0;
    await storeAll();
    expect(store.items.size).toBe(6);
  });

  // Guards against counts that are taken for stored by a confirmation from before a restart.
  it('writes counts itself when only a confirmation from before a restart comes', async () => {
    const { clock, network, store, relays, restart } = makeZone(6);
    let late: Buffer = Buffer.alloc(0);
    network.observe = (from, to, bytes) => {
      late = from === 0 && to === 2 ? bytes : late;
    };
    void relays[2]?.store(partOf('old', 1));
    await clock.advance(1000);
    network.observe = (from, to) => {
      if (from === 2 && to === 0) {
        network.deliverLate(2, late);
      }
    };
    network.arrives = (from, to) => from !== 0 && to !== 0;
    const written = restart(2).store(partOf('new', 5));
    await clock.advance(2000);
    await written;
    expect(store.totalOf(partKey(1, 'new'))).toBe(5);
  });

  it('does not confirm counts that were not written', async () => {
    const { store, clock, relays } = makeZone(6);
    store.fate = WriteFate.Lost;
    const written = relays[2]?.store(partOf('i-2', 1)).then(
      () => 'stored',
      () => 'failed',
    );
    await clock.advance(2000);
    expect(await written).toBe('failed');
  });

  // Guards against counts that are lost with an instance that stops while the store is away.
  it('writes the counts of an instance that has stopped once the store is back', async () => {
    const { store, clock, relays } = makeZone(3);
    const [first, second, third] = relays;
    store.fate = WriteFate.Lost;
    const taken = first?.handOver(partOf('i-0', 4, true));
    await clock.advance(10);
    expect(await taken).toBe(true);
    const writeAll = (oldest: number) =>
      Promise.allSettled([second?.writeKept(oldest), third?.writeKept(oldest)]);
    await writeAll(1);
    expect(store.items.size).toBe(0);
    store.fate = WriteFate.Answered;
    await writeAll(1);
    expect(store.totalOf(partKey(1, 'i-0'))).toBe(4);
  });
});
