import fastCheck from 'fast-check';
import { describe, expect, it } from 'vitest';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { ConfirmedView } from 'hickoryrelay-forwarding/ConfirmedView';
import { SharedViewSource } from 'hickoryrelay-forwarding/SharedViewSource';
import { ViewRelay } from 'hickoryrelay-forwarding/ViewRelay';
import { ViewSource } from 'hickoryrelay-forwarding/ViewSource';
import { ZoneRelays } from 'hickoryrelay-forwarding/ZoneRelays';

import { HEARTBEAT_MILLISECONDS, makeConfiguration, makeEndpoint } from './ForwardingFixture.js';
import { makePeer, PeerNetwork } from './PeerNetwork.js';

import type { EndpointRecord } from 'hickoryrelay-forwarding/EndpointRecord';
import type { ForwardingConfiguration } from 'hickoryrelay-forwarding/ForwardingConfiguration';
import type { PeerRecord } from 'hickoryrelay-forwarding/PeerRecord';
import type { StoreReading } from 'hickoryrelay-forwarding/ViewSource';

const PERIOD_MILLISECONDS = 1000;

/** What the store held at a revision, for comparison. */
interface StoreState {
  readonly version: number;
  readonly endpoints: string;
}

/** The store as its readers see it. */
class ModelStore {
  reads = 0;

  isAway = false;

  peers: readonly PeerRecord[] = [];

  private revision = 10;

  private configuration: ForwardingConfiguration = makeConfiguration({ version: 1 });

  private readonly endpoints = new Map<string, EndpointRecord>();

  /** All states that the store has had, with the time at which each began. */
  readonly history: { readonly at: number; readonly state: StoreState }[] = [];

  constructor() {
    this.remember(0);
  }

  put(identifier: string, slots: number, now: number): void {
    this.endpoints.set(identifier, makeEndpoint(identifier, { slots }));
    this.remember(now);
  }

  remove(identifier: string, now: number): void {
    this.endpoints.delete(identifier);
    this.remember(now);
  }

  configure(now: number): void {
    this.configuration = makeConfiguration({ version: this.configuration.version + 1 });
    this.remember(now);
  }

  read(): StoreReading {
    this.reads += 1;
    return {
      reading: {
        configuration: this.configuration,
        endpoints: [...this.endpoints.values()],
        peers: this.peers,
        isAuthorityHeld: true,
      },
      revision: this.revision,
      lastRevision: this.revision,
      ageMilliseconds: 0,
      periodPart: 1,
    };
  }

  private remember(at: number): void {
    this.revision += 1;
    const { version } = this.configuration;
    this.history.push({ at, state: { version, endpoints: describeAll(this.endpoints.values()) } });
  }
}

function describeAll(endpoints: Iterable<EndpointRecord>): string {
  return [...endpoints]
    .map(({ identifier, slots }) => `${identifier}:${slots}`)
    .sort()
    .join(' ');
}

class ModelSource extends ViewSource {
  private readonly store: ModelStore;

  private readonly isRejected: () => boolean;

  constructor(store: ModelStore, isRejected: () => boolean) {
    super();
    this.store = store;
    this.isRejected = isRejected;
  }

  override read(): Promise<StoreReading> {
    return this.store.isAway || this.isRejected()
      ? Promise.reject(new Error('away'))
      : Promise.resolve(this.store.read());
  }
}

interface Member {
  readonly view: ConfirmedView;
  readonly source: SharedViewSource;
  /** True once a reading was missed, after which endpoints that are gone are kept for a while. */
  hasMissed: boolean;
}

/** A zone of instances that read one store, each with its own source. */
class Zone {
  readonly clock = new ManualClock();

  readonly store = new ModelStore();

  readonly network = new PeerNetwork();

  /** Instances that the store turns away. */
  readonly rejected = new Set<number>();

  readonly members: Member[];

  private starts = 0;

  constructor(size: number) {
    const peers = Array.from({ length: size }, (_unused, index) =>
      makePeer(index, 'zone-a', index === 0 ? 1 : 0.3),
    );
    this.store.peers = peers;
    this.members = peers.map((_unused, index) => this.start(index));
  }

  /** Starts an instance again, without anything that it knew. */
  restart(index: number): void {
    this.members[index] = this.start(index);
  }

  private start(index: number): Member {
    const self = this.store.peers[index] as PeerRecord;
    this.starts += 1;
    const view = new ConfirmedView(this.clock, HEARTBEAT_MILLISECONDS);
    const source = new SharedViewSource({
      self,
      store: new ModelSource(this.store, () => this.rejected.has(index)),
      relay: new ViewRelay(this.clock),
      relays: new ZoneRelays(self.instance),
      channel: this.network.channelOf(self),
      view,
      clock: this.clock,
      random: new SeededRandomSource(this.starts),
      periodMilliseconds: PERIOD_MILLISECONDS,
      log: silentLogger,
    });
    source.listen();
    return { view, source, hasMissed: false };
  }

  /** Has one instance read, as its view task does, and lets time pass until it is done. */
  async read(index: number): Promise<void> {
    const member = this.members[index];
    if (member === undefined) {
      return;
    }
    const { view, source } = member;
    const miss = () => {
      member.hasMissed = true;
      view.missReading();
    };
    const asked = view.now();
    let isDone = false;
    const reading = source.read().then((result) => {
      view.apply(result.reading, asked - result.ageMilliseconds);
    }, miss);
    void reading.then(() => {
      isDone = true;
    });
    while (!isDone) {
      await this.clock.advance(5);
    }
  }

  async readAll(): Promise<void> {
    for (const index of this.members.keys()) {
      await this.read(index);
    }
  }
}

describe('the view of a zone', () => {
  it('is read from the store by one instance, and asked for by the others', async () => {
    const zone = new Zone(6);
    zone.store.put('e1', 1, 0);
    await zone.readAll();
    const { reads } = zone.store;
    zone.store.put('e2', 1, zone.clock.monotonicMilliseconds());
    zone.store.remove('e1', zone.clock.monotonicMilliseconds());
    await zone.readAll();
    expect(zone.store.reads - reads).toBe(1);
    for (const { view } of zone.members) {
      expect(view.endpoints.map(({ identifier }) => identifier)).toEqual(['e2']);
    }
  });

  it('is read by each instance where there are few', async () => {
    const zone = new Zone(3);
    await zone.readAll();
    await zone.readAll();
    expect(zone.store.reads).toBe(6);
  });

  it('is read from the store when the relay does not answer, and then from another relay', async () => {
    const zone = new Zone(6);
    await zone.readAll();
    zone.network.arrives = (from, to) => from !== 0 && to !== 0;
    zone.store.put('e1', 1, zone.clock.monotonicMilliseconds());
    const { reads } = zone.store;
    for (const index of [1, 2, 3, 4, 5]) {
      await zone.read(index);
    }
    expect(zone.store.reads - reads).toBe(5);
    for (const index of [1, 2, 3, 4, 5]) {
      await zone.read(index);
    }
    expect(zone.store.reads - reads).toBe(6);
    expect(zone.members[5]?.view.endpoints).toHaveLength(1);
  });

  // Guards against keys that were taken away and stay in use through a relay cut off from the store.
  it('does not count as confirmed by a relay whose own readings fail', async () => {
    const zone = new Zone(6);
    await zone.readAll();
    await zone.readAll();
    zone.store.isAway = true;
    const before = zone.members[3]?.view.ageMilliseconds ?? 0;
    await zone.clock.advance(3000);
    await zone.readAll();
    expect(zone.members[3]?.view.ageMilliseconds).toBeGreaterThan(before + 3000);
  });

  // Guards against the loss of all endpoints whose registrations lapsed while the store was away.
  it('keeps missing endpoints after an outage in which the relay was asked', async () => {
    const zone = new Zone(6);
    zone.store.put('e1', 1, 0);
    await zone.readAll();
    await zone.readAll();
    zone.store.isAway = true;
    for (let round = 0; round < 8; round += 1) {
      await zone.read(0);
      await zone.read(4);
      await zone.clock.advance(500);
    }
    zone.store.isAway = false;
    zone.store.remove('e1', zone.clock.monotonicMilliseconds());
    await zone.read(0);
    await zone.read(4);
    expect(zone.members[4]?.view.endpoints).toHaveLength(1);
  });

  // Guards against requests to an endpoint that left, after the relay alone was without the store.
  it('drops an endpoint that is gone although readings of the relay failed before', async () => {
    const zone = new Zone(6);
    zone.store.put('e1', 1, 0);
    await zone.readAll();
    await zone.readAll();
    zone.rejected.add(0);
    for (let round = 0; round < 6; round += 1) {
      await zone.read(0);
      await zone.clock.advance(500);
      await zone.read(4);
    }
    zone.rejected.clear();
    await zone.clock.advance(3000);
    await zone.read(0);
    await zone.read(4);
    zone.store.remove('e1', zone.clock.monotonicMilliseconds());
    await zone.read(0);
    await zone.read(4);
    expect(zone.members[4]?.view.endpoints).toEqual([]);
  });

  // Guards against an endpoint that stays known because the relay started after its removal.
  it('is read from the store where it is older than the first reading of the relay', async () => {
    const zone = new Zone(6);
    zone.store.put('e1', 1, 0);
    await zone.read(3);
    zone.store.remove('e1', zone.clock.monotonicMilliseconds());
    await zone.read(0);
    await zone.read(3);
    expect(zone.members[3]?.view.endpoints).toEqual([]);
  });

  // Guards against a withdrawn key that stays in use because an answer from before a restart, held up
  // on the way, is taken for the answer to a new question.
  it('is not confirmed by an answer to a question from before a restart', async () => {
    const zone = new Zone(6);
    await zone.readAll();
    let late: Buffer = Buffer.alloc(0);
    zone.network.observe = (from, to, bytes) => {
      late = from === 0 && to === 3 ? bytes : late;
    };
    await zone.read(0);
    await zone.read(3);
    zone.restart(3);
    await zone.read(3);
    zone.network.observe = (from, to) => {
      if (from === 3 && to === 0) {
        zone.network.deliverLate(3, late);
      }
    };
    zone.network.arrives = (from, to) => from !== 0 || to !== 3;
    const { reads } = zone.store;
    await zone.read(3);
    expect(zone.store.reads - reads).toBe(1);
  });

  // Any order of changes, readings, lost datagrams and outages: what an instance believes was the
  // state of the store at the moment as of which it is confirmed, or later.
  it('is what the store held when it was confirmed, or later', async () => {
    const indexArbitrary = fastCheck.nat(5);
    const stepArbitrary = fastCheck.oneof(
      fastCheck.record({ kind: fastCheck.constant('put' as const), index: indexArbitrary }),
      fastCheck.record({ kind: fastCheck.constant('remove' as const), index: indexArbitrary }),
      fastCheck.record({ kind: fastCheck.constant('configure' as const), index: indexArbitrary }),
      fastCheck.record({ kind: fastCheck.constant('read' as const), index: indexArbitrary }),
      fastCheck.record({ kind: fastCheck.constant('read' as const), index: indexArbitrary }),
      fastCheck.record({ kind: fastCheck.constant('read' as const), index: indexArbitrary }),
      fastCheck.record({ kind: fastCheck.constant('cut' as const), index: indexArbitrary }),
      fastCheck.record({ kind: fastCheck.constant('heal' as const), index: indexArbitrary }),
      fastCheck.record({ kind: fastCheck.constant('outage' as const), index: indexArbitrary }),
      fastCheck.record({ kind: fastCheck.constant('wait' as const), index: indexArbitrary }),
    );
    await fastCheck.assert(
      fastCheck.asyncProperty(fastCheck.array(stepArbitrary, { maxLength: 40 }), async (steps) => {
        const zone = new Zone(6);
        const cut = new Set<number>();
        zone.network.arrives = (from, to) => !cut.has(from) && !cut.has(to);
        let slots = 0;
        for (const { kind, index } of steps) {
          const now = zone.clock.monotonicMilliseconds();
          switch (kind) {
            case 'put':
              slots += 1;
              zone.store.put(`e${index}`, slots, now);
              break;
            case 'remove':
              zone.store.remove(`e${index}`, now);
              break;
            case 'configure':
              zone.store.configure(now);
              break;
            case 'cut':
              cut.add(index);
              break;
            case 'heal':
              cut.clear();
              zone.store.isAway = false;
              break;
            case 'outage':
              zone.store.isAway = true;
              break;
            case 'wait':
              await zone.clock.advance(index * 500);
              break;
            default:
              await zone.read(index);
          }
          await zone.clock.advance(1);
          zone.members.forEach((member) => checkBelief(zone, member));
        }
      }),
      { numRuns: 150 },
    );
  });
});

/** Compares what an instance believes with all states of the store since it was confirmed. */
function checkBelief(zone: Zone, { view, hasMissed }: Member): void {
  if (view.configuration === undefined) {
    return;
  }
  const { version } = view.configuration;
  const confirmedAt = zone.clock.monotonicMilliseconds() - view.ageMilliseconds;
  const { history } = zone.store;
  const current = history.findLastIndex(({ at }) => at <= confirmedAt);
  const possible = history
    .slice(Math.max(0, current))
    .flatMap(({ state }) => (state.version === version ? [state.endpoints] : []));
  const believed = describeAll(view.endpoints);
  if (hasMissed) {
    const entries = new Set(['', ...believed.split(' ')]);
    const isPossible = possible.some((state) =>
      state.split(' ').every((entry) => entries.has(entry)),
    );
    expect(isPossible, `${believed} at ${confirmedAt}`).toBe(true);
  } else {
    expect(possible).toContain(believed);
  }
}
