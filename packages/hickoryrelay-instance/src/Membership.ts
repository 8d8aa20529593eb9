import { hashString, rendezvousOrder } from 'hickoryrelay/RendezvousUtils';
import { InstanceState } from 'hickoryrelay-platform/InstanceList';

import type { Clock } from 'hickoryrelay/Clock';
import type { PeerAddress } from 'hickoryrelay-link/PeerConnector';
import type { DigestRow, HeartbeatEntry, InstanceIdentity } from 'hickoryrelay-link/PeerMessages';
import type { ListedInstance } from 'hickoryrelay-platform/InstanceList';

export const SUSPECT_TIMEOUT_MILLISECONDS = 5000;
export const DEAD_TIMEOUT_MILLISECONDS = 15_000;

/**
 * Multiplies the timeouts for instances of other zones, whose heartbeats arrive less often:
 * forwarding 640 heartbeats within 5 s would exceed the 9 KB/s of control traffic per node.
 */
const OTHER_ZONE_TIMEOUT_FACTOR = 3;

/** Dead instances stay in the table so that they can be tried as neighbours if none is alive. */
const DEAD_MEMBER_RETENTION_MILLISECONDS = 600_000;

/** A longer time between ticks means that this process was paused and received nothing. */
const MAXIMUM_TICK_MILLISECONDS = 2000;

/** Covers two days at 2,000 restarts a day. */
const MAXIMUM_SUPERSEDED_INCARNATIONS = 4000;

const OWN_ZONE_NEIGHBOUR_COUNT = 3;
const OTHER_ZONE_NEIGHBOUR_COUNT = 2;
const CONFIGURATION_WATCHER_COUNT = 3;

/** Liveness of one incarnation of an instance. */
export const Liveness = {
  Live: 'live',
  Leaving: 'leaving',
  Suspect: 'suspect',
  Dead: 'dead',
  /** No row of the incarnation has been received. */
  Unknown: 'unknown',
} as const;

export type Liveness = (typeof Liveness)[keyof typeof Liveness];

/** The latest row of an instance, and when it was received. */
export interface Member {
  readonly row: DigestRow;
  /** Highest heartbeat received, in rows and in heartbeat entries. */
  readonly heartbeat: number;
  /** Observed time when the heartbeat last advanced. */
  readonly heartbeatAdvancedMilliseconds: number;
  /** Time of the monotonic clock when the row was received. */
  readonly rowReceivedMilliseconds: number;
  /** How often the row has been forwarded. */
  readonly forwardCount: number;
}

/** The other instances, as known from the platform's list and from gossip. */
export class Membership {
  readonly identity: InstanceIdentity;

  private readonly clock: Clock;

  private readonly seeds: readonly PeerAddress[];

  private readonly members = new Map<string, Member>();

  /** Member names by the hash of their incarnation; undefined if two incarnations collide. */
  private readonly namesByTag = new Map<number, string | undefined>();

  private readonly supersededIncarnations = new Set<string>();

  private listedInstances: ReadonlyMap<string, ListedInstance> = new Map();

  private observedMilliseconds = 0;

  private lastTickMilliseconds: number;

  private lastAdvanceMilliseconds = Number.NEGATIVE_INFINITY;

  constructor(identity: InstanceIdentity, clock: Clock, seeds: readonly PeerAddress[] = []) {
    this.seeds = seeds.filter(({ name }) => name !== identity.name);
    this.identity = identity;
    this.clock = clock;
    this.lastTickMilliseconds = clock.monotonicMilliseconds();
  }

  get size(): number {
    return this.members.size;
  }

  get listedCount(): number {
    return this.listedInstances.size;
  }

  /** All other instances, including dead ones until their retention period ends. */
  knownMembers(): IterableIterator<Member> {
    return this.members.values();
  }

  /** Other instances that are not dead. */
  *activeMembers(): Generator<Member, void, void> {
    for (const member of this.members.values()) {
      if (this.livenessOf(member) !== Liveness.Dead) {
        yield member;
      }
    }
  }

  /**
   * Advances observed time, which stops while this process is paused. Removes instances that have
   * been silent for longer than the retention period and returns their names.
   */
  tick(): readonly string[] {
    const now = this.clock.monotonicMilliseconds();
    this.observedMilliseconds += Math.min(
      now - this.lastTickMilliseconds,
      MAXIMUM_TICK_MILLISECONDS,
    );
    this.lastTickMilliseconds = now;
    const expired = [...this.members].filter(
      ([, member]) =>
        this.observedMilliseconds - member.heartbeatAdvancedMilliseconds >
        DEAD_MEMBER_RETENTION_MILLISECONDS,
    );
    for (const [name, member] of expired) {
      this.members.delete(name);
      this.namesByTag.delete(hashString(member.row.identity.incarnation));
    }
    return expired.map(([name]) => name);
  }

  updateListed(list: readonly ListedInstance[]): void {
    this.listedInstances = new Map(
      list
        .filter(({ name }) => name !== this.identity.name)
        .map((instance) => [instance.name, instance]),
    );
  }

  /** Stores a row if it is newer than the stored one. Returns whether it was stored. */
  applyRow(row: DigestRow): boolean {
    const { name, incarnation } = row.identity;
    if (name === this.identity.name) {
      return false;
    }
    const known = this.members.get(name);
    const isSameIncarnation = known?.row.identity.incarnation === incarnation;
    if (known !== undefined) {
      const isOlder = isSameIncarnation
        ? row.heartbeat <= known.row.heartbeat
        : incarnation < known.row.identity.incarnation;
      if (isOlder) {
        return false;
      }
    }
    if (!isSameIncarnation) {
      this.replaceIncarnation(known, row);
    }
    const hasAdvanced = !isSameIncarnation || row.heartbeat > known.heartbeat;
    const isLeaving = isSameIncarnation && known.row.state === InstanceState.Leaving;
    this.members.set(name, {
      row: isLeaving ? { ...row, state: InstanceState.Leaving } : row,
      heartbeat: hasAdvanced ? row.heartbeat : known.heartbeat,
      heartbeatAdvancedMilliseconds: hasAdvanced
        ? this.recordHeartbeatAdvance()
        : known.heartbeatAdvancedMilliseconds,
      rowReceivedMilliseconds: this.clock.monotonicMilliseconds(),
      forwardCount: 0,
    });
    return true;
  }

  /** Applies a heartbeat that was forwarded without its row. */
  applyHeartbeat([tag, heartbeat]: HeartbeatEntry): void {
    const name = this.namesByTag.get(tag);
    const member = name === undefined ? undefined : this.members.get(name);
    if (name !== undefined && member !== undefined && heartbeat > member.heartbeat) {
      this.members.set(name, {
        ...member,
        heartbeat,
        heartbeatAdvancedMilliseconds: this.recordHeartbeatAdvance(),
      });
    }
  }

  /** Marks a live incarnation as leaving. Returns whether this changed its state. */
  markLeaving({ name, incarnation }: InstanceIdentity): boolean {
    const member = this.members.get(name);
    const isChange =
      member?.row.identity.incarnation === incarnation && member.row.state === InstanceState.Live;
    if (isChange) {
      const row = { ...member.row, state: InstanceState.Leaving };
      this.members.set(name, { ...member, row, forwardCount: 0 });
    }
    return isChange;
  }

  recordForward(member: Member): void {
    const { name } = member.row.identity;
    this.members.set(name, { ...member, forwardCount: member.forwardCount + 1 });
  }

  /** Dead if a newer incarnation of the instance is known. */
  liveness(incarnation: string): Liveness {
    if (incarnation === this.identity.incarnation) {
      return Liveness.Live;
    }
    if (this.supersededIncarnations.has(incarnation)) {
      return Liveness.Dead;
    }
    const name = this.namesByTag.get(hashString(incarnation));
    const member =
      name === undefined ? this.findByIncarnation(incarnation) : this.members.get(name);
    return member?.row.identity.incarnation === incarnation
      ? this.livenessOf(member)
      : Liveness.Unknown;
  }

  /** Observed time since the heartbeat of the instance last advanced. */
  heartbeatAgeMilliseconds(member: Member): number {
    return this.observedMilliseconds - member.heartbeatAdvancedMilliseconds;
  }

  livenessOf(member: Member): Liveness {
    const factor = member.row.identity.zone === this.identity.zone ? 1 : OTHER_ZONE_TIMEOUT_FACTOR;
    const age = this.heartbeatAgeMilliseconds(member);
    if (age > DEAD_TIMEOUT_MILLISECONDS * factor) {
      return this.isIsolated ? Liveness.Suspect : Liveness.Dead;
    }
    if (member.row.state === InstanceState.Leaving) {
      return Liveness.Leaving;
    }
    return age > SUSPECT_TIMEOUT_MILLISECONDS * factor ? Liveness.Suspect : Liveness.Live;
  }

  /**
   * Peers to keep links to: 3 in the own zone and 1 in each of up to two other zones. The seeds of
   * the settings are added only while every known candidate is dead.
   */
  neighbours(): PeerAddress[] {
    const zones = this.candidatesByZone();
    const ownZonePeers = this.selectPeers(
      zones.get(this.identity.zone) ?? [],
      OWN_ZONE_NEIGHBOUR_COUNT,
    );
    const otherZones = [...zones.keys()].filter((zone) => zone !== this.identity.zone);
    const otherZonePeers = rendezvousOrder(this.identity.name, otherZones)
      .slice(0, OTHER_ZONE_NEIGHBOUR_COUNT)
      .flatMap((zone) => this.selectPeers(zones.get(zone) ?? [], 1));
    const known = [...ownZonePeers, ...otherZonePeers];
    const hasNoLiveCandidate = [...zones.values()]
      .flat()
      .every(({ isPossiblyAlive }) => !isPossiblyAlive);
    return hasNoLiveCandidate ? [...known, ...this.unresolvedSeeds()] : known;
  }

  /** Whether no instance of the own zone is suspected. */
  get isOwnZoneResponsive(): boolean {
    return [...this.activeMembers()].every(
      (member) =>
        member.row.identity.zone !== this.identity.zone ||
        this.livenessOf(member) !== Liveness.Suspect,
    );
  }

  /** Whether this instance is one of those in its zone that watch the platform's configuration. */
  get isConfigurationWatcher(): boolean {
    const { name, zone } = this.identity;
    const names = [...this.members.values()]
      .filter((member) => member.row.identity.zone === zone)
      .filter((member) => this.livenessOf(member) === Liveness.Live)
      .map((member) => member.row.identity.name);
    return rendezvousOrder(zone, [name, ...names])
      .slice(0, CONFIGURATION_WATCHER_COUNT)
      .includes(name);
  }

  /** Seeds whose address is known neither from the list nor from a peer. */
  private unresolvedSeeds(): PeerAddress[] {
    return this.seeds.filter(
      ({ name }) => !this.listedInstances.has(name) && !this.members.has(name),
    );
  }

  /** No heartbeat has arrived from any peer lately, so silence does not show that a peer is dead. */
  private get isIsolated(): boolean {
    return this.observedMilliseconds - this.lastAdvanceMilliseconds > SUSPECT_TIMEOUT_MILLISECONDS;
  }

  private recordHeartbeatAdvance(): number {
    this.lastAdvanceMilliseconds = this.observedMilliseconds;
    return this.observedMilliseconds;
  }

  private replaceIncarnation(known: Member | undefined, row: DigestRow): void {
    if (known !== undefined) {
      this.supersededIncarnations.add(known.row.identity.incarnation);
      const [oldest] = this.supersededIncarnations;
      if (
        this.supersededIncarnations.size > MAXIMUM_SUPERSEDED_INCARNATIONS &&
        oldest !== undefined
      ) {
        this.supersededIncarnations.delete(oldest);
      }
      this.namesByTag.delete(hashString(known.row.identity.incarnation));
    }
    const { name, incarnation } = row.identity;
    const tag = hashString(incarnation);
    this.namesByTag.set(tag, this.namesByTag.has(tag) ? undefined : name);
  }

  private findByIncarnation(incarnation: string): Member | undefined {
    return [...this.members.values()].find(
      (member) => member.row.identity.incarnation === incarnation,
    );
  }

  /** Peer addresses by zone, without instances that are leaving. */
  private candidatesByZone(): Map<string, { address: PeerAddress; isPossiblyAlive: boolean }[]> {
    const zones = new Map<string, { address: PeerAddress; isPossiblyAlive: boolean }[]>();
    const names = new Set([...this.listedInstances.keys(), ...this.members.keys()]);
    for (const name of names) {
      const listed = this.listedInstances.get(name);
      const member = this.members.get(name);
      const liveness = member === undefined ? Liveness.Unknown : this.livenessOf(member);
      const zone = member?.row.identity.zone ?? listed?.zone;
      const url = member?.row.peersUrl ?? listed?.peersUrl;
      const isLeaving =
        liveness === Liveness.Leaving ||
        (member === undefined && listed?.state === InstanceState.Leaving);
      if (zone !== undefined && url !== undefined && !isLeaving) {
        const candidate = { address: { name, url }, isPossiblyAlive: liveness !== Liveness.Dead };
        zones.set(zone, [...(zones.get(zone) ?? []), candidate]);
      }
    }
    return zones;
  }

  private selectPeers(
    candidates: readonly { address: PeerAddress; isPossiblyAlive: boolean }[],
    count: number,
  ): PeerAddress[] {
    const byName = new Map(candidates.map((candidate) => [candidate.address.name, candidate]));
    const ordered = rendezvousOrder(this.identity.name, [...byName.keys()]).flatMap((name) => {
      const candidate = byName.get(name);
      return candidate === undefined ? [] : [candidate];
    });
    return [
      ...ordered.filter(({ isPossiblyAlive }) => isPossiblyAlive),
      ...ordered.filter(({ isPossiblyAlive }) => !isPossiblyAlive),
    ]
      .slice(0, count)
      .map(({ address }) => address);
  }
}
