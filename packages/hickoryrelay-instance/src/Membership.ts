import { hashText, rendezvousOrder } from 'hickoryrelay/RendezvousUtils';
import { InstanceState } from 'hickoryrelay-platform/InstanceList';

import type { Clock } from 'hickoryrelay/Clock';
import type { PeerAddress } from 'hickoryrelay-link/PeerDialler';
import type { DigestRow, HeartbeatEntry, InstanceIdentity } from 'hickoryrelay-link/PeerMessages';
import type { ListedInstance } from 'hickoryrelay-platform/InstanceList';

export const SUSPECT_TIMEOUT_MILLISECONDS = 5000;
export const DEAD_TIMEOUT_MILLISECONDS = 15_000;

/**
 * Heartbeats of other zones arrive less often: passing on 640 of them within 5 s would take more
 * than a node's part of 9 KB a second. Suspicion of these instances waits longer by this factor.
 */
const OTHER_ZONE_TIMEOUT_FACTOR = 3;

/** Rows of dead instances are kept for a while, to be tried as neighbours when no others are left. */
const DEAD_MEMBER_RETENTION_MILLISECONDS = 600_000;

/** A longer step of the clock means that this process was paused and heard nobody meanwhile. */
const MAXIMUM_TICK_MILLISECONDS = 2000;

/** Runs that are known to have been replaced; two days of 2,000 restarts. */
const MAXIMUM_SUPERSEDED_INCARNATIONS = 4000;

const OWN_ZONE_NEIGHBOUR_COUNT = 3;
const OTHER_ZONE_NEIGHBOUR_COUNT = 2;
const CONFIGURATION_WATCHER_COUNT = 3;

/** What is known about one run of an instance. */
export const Liveness = {
  Live: 'live',
  Leaving: 'leaving',
  Suspect: 'suspect',
  Dead: 'dead',
  /** No row of the incarnation has been heard. */
  Unknown: 'unknown',
} as const;

export type Liveness = (typeof Liveness)[keyof typeof Liveness];

/** The latest row of an instance, and when it was heard. */
export interface Member {
  readonly row: DigestRow;
  /** Highest heartbeat heard, from rows and from heartbeat entries. */
  readonly heartbeat: number;
  /** When the heartbeat last advanced, in observed time. */
  readonly heartbeatAdvancedMilliseconds: number;
  /** When the row was heard, on the monotonic clock. */
  readonly rowReceivedMilliseconds: number;
  /** How often the row has been passed on. */
  readonly forwardCount: number;
}

/** The instances that this one knows, from the platform's list and from gossip. */
export class Membership {
  readonly identity: InstanceIdentity;

  private readonly clock: Clock;

  private readonly seeds: readonly PeerAddress[];

  private readonly members = new Map<string, Member>();

  /** Member names by tag of their incarnation; undefined for a tag that two share. */
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

  /** Rows of all other instances, dead ones too until they are forgotten. */
  knownMembers(): IterableIterator<Member> {
    return this.members.values();
  }

  /** Rows of other instances that are not dead. */
  *activeMembers(): Generator<Member, void, void> {
    for (const member of this.members.values()) {
      if (this.livenessOf(member) !== Liveness.Dead) {
        yield member;
      }
    }
  }

  /**
   * Advances observed time, which stands still while this process is paused. Returns the names of
   * instances that are forgotten, since they have been dead for long.
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
      this.namesByTag.delete(hashText(member.row.identity.incarnation));
    }
    return expired.map(([name]) => name);
  }

  updateListed(list: readonly ListedInstance[]): void {
    this.listedInstances = new Map(
      list.filter(({ name }) => name !== this.identity.name).map((each) => [each.name, each]),
    );
  }

  /** Takes a row if it is newer than the one known. Returns whether it was. */
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

  /** Takes a heartbeat that was passed on without its row. */
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

  /** Records that an instance is leaving. Returns whether that is news about a known run. */
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

  /** What is known about one run of an instance. */
  liveness(incarnation: string): Liveness {
    if (incarnation === this.identity.incarnation) {
      return Liveness.Live;
    }
    if (this.supersededIncarnations.has(incarnation)) {
      return Liveness.Dead;
    }
    const name = this.namesByTag.get(hashText(incarnation));
    const member =
      name === undefined ? this.findByIncarnation(incarnation) : this.members.get(name);
    return member?.row.identity.incarnation === incarnation
      ? this.livenessOf(member)
      : Liveness.Unknown;
  }

  /** Observed time since a heartbeat of the instance last advanced. */
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
   * the settings are added only while no other instance seems to live.
   */
  neighbours(): PeerAddress[] {
    const zones = this.candidatesByZone();
    const own = this.selectPeers(zones.get(this.identity.zone) ?? [], OWN_ZONE_NEIGHBOUR_COUNT);
    const otherZones = [...zones.keys()].filter((zone) => zone !== this.identity.zone);
    const others = rendezvousOrder(this.identity.name, otherZones)
      .slice(0, OTHER_ZONE_NEIGHBOUR_COUNT)
      .flatMap((zone) => this.selectPeers(zones.get(zone) ?? [], 1));
    const known = [...own, ...others];
    const hasNoLiveCandidate = [...zones.values()]
      .flat()
      .every(({ isPossiblyAlive }) => !isPossiblyAlive);
    return hasNoLiveCandidate ? [...known, ...this.unresolvedSeeds()] : known;
  }

  /** Whether no instance of the own zone is silent. */
  get isOwnZoneResponsive(): boolean {
    return [...this.activeMembers()].every(
      (member) =>
        member.row.identity.zone !== this.identity.zone ||
        this.livenessOf(member) !== Liveness.Suspect,
    );
  }

  /** Whether this instance is one of the few of its zone that watch the platform's service. */
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

  /** Seeds of which neither the list nor a peer has said where they are. */
  private unresolvedSeeds(): PeerAddress[] {
    return this.seeds.filter(
      ({ name }) => !this.listedInstances.has(name) && !this.members.has(name),
    );
  }

  /** Nobody has been heard for a while, so silence says nothing about the others. */
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
      this.namesByTag.delete(hashText(known.row.identity.incarnation));
    }
    const { name, incarnation } = row.identity;
    const tag = hashText(incarnation);
    this.namesByTag.set(tag, this.namesByTag.has(tag) ? undefined : name);
  }

  private findByIncarnation(incarnation: string): Member | undefined {
    return [...this.members.values()].find(
      (member) => member.row.identity.incarnation === incarnation,
    );
  }

  /** Addresses by zone: those that seem to live first; dead and unlisted ones as a last resort. */
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
    const byName = new Map(candidates.map((each) => [each.address.name, each]));
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
