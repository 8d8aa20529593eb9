import { hashString, rendezvousOrder } from 'hickoryrelay/RendezvousUtils';
import { InstanceState } from 'hickoryrelay-platform/InstanceList';

import type { Clock } from 'hickoryrelay/Clock';
import type { PeerAddress } from 'hickoryrelay-link/PeerConnector';
import type { DigestRow, HeartbeatEntry, InstanceIdentity } from 'hickoryrelay-link/PeerMessages';
import type { ListedInstance } from 'hickoryrelay-platform/InstanceList';

export const SUSPECT_MILLISECONDS = 5000;
export const DEAD_MILLISECONDS = 15_000;

/**
 * Heartbeats of other zones arrive less often: passing on 640 of them within 5 s would take more
 * than a node's part of 9 KB a second. Suspicion of these instances waits longer by this factor.
 */
const OTHER_ZONE_FACTOR = 3;

/** Rows of dead instances are kept for a while, to be tried as neighbours when no others are left. */
const FORGET_MILLISECONDS = 600_000;

/** A longer step of the clock means that this process was paused and heard nobody meanwhile. */
const LONGEST_STEP_MILLISECONDS = 2000;

/** Runs that are known to have been replaced; two days of 2,000 restarts. */
const SUPERSEDED_LIMIT = 4000;

const OWN_ZONE_NEIGHBOURS = 3;
const OTHER_ZONE_NEIGHBOURS = 2;
const CONFIGURATION_WATCHERS = 3;

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
  readonly advancedMilliseconds: number;
  /** When the row was heard, on the monotonic clock. */
  readonly rowMilliseconds: number;
  /** How often the row has been passed on. */
  readonly forwards: number;
}

/** The instances that this one knows, from the platform's list and from gossip. */
export class Membership {
  readonly identity: InstanceIdentity;

  private readonly clock: Clock;

  private readonly seeds: readonly PeerAddress[];

  private readonly members = new Map<string, Member>();

  /** Member names by tag of their incarnation; undefined for a tag that two share. */
  private readonly tags = new Map<number, string | undefined>();

  private readonly superseded = new Set<string>();

  private listed: ReadonlyMap<string, ListedInstance> = new Map();

  private observedMilliseconds = 0;

  private tickMilliseconds: number;

  private lastAdvanceMilliseconds = Number.NEGATIVE_INFINITY;

  constructor(identity: InstanceIdentity, clock: Clock, seeds: readonly PeerAddress[] = []) {
    this.seeds = seeds.filter(({ name }) => name !== identity.name);
    this.identity = identity;
    this.clock = clock;
    this.tickMilliseconds = clock.monotonicMilliseconds();
  }

  get size(): number {
    return this.members.size;
  }

  get listedCount(): number {
    return this.listed.size;
  }

  /** Rows of all other instances, dead ones too until they are forgotten. */
  known(): IterableIterator<Member> {
    return this.members.values();
  }

  /** Rows of other instances that are not dead. */
  *present(): Generator<Member, void, void> {
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
    this.observedMilliseconds += Math.min(now - this.tickMilliseconds, LONGEST_STEP_MILLISECONDS);
    this.tickMilliseconds = now;
    const forgotten = [...this.members].filter(
      ([, member]) => this.observedMilliseconds - member.advancedMilliseconds > FORGET_MILLISECONDS,
    );
    for (const [name, member] of forgotten) {
      this.members.delete(name);
      this.tags.delete(hashString(member.row.identity.incarnation));
    }
    return forgotten.map(([name]) => name);
  }

  updateListed(list: readonly ListedInstance[]): void {
    this.listed = new Map(
      list.filter(({ name }) => name !== this.identity.name).map((each) => [each.name, each]),
    );
  }

  /** Takes a row if it is newer than the one known. Returns whether it was. */
  takeRow(row: DigestRow): boolean {
    const { name, incarnation } = row.identity;
    if (name === this.identity.name) {
      return false;
    }
    const known = this.members.get(name);
    const isSameRun = known?.row.identity.incarnation === incarnation;
    if (known !== undefined) {
      const isOlder = isSameRun
        ? row.heartbeat <= known.row.heartbeat
        : incarnation < known.row.identity.incarnation;
      if (isOlder) {
        return false;
      }
    }
    if (!isSameRun) {
      this.replaceRun(known, row);
    }
    const hasAdvanced = !isSameRun || row.heartbeat > known.heartbeat;
    const isLeaving = isSameRun && known.row.state === InstanceState.Leaving;
    this.members.set(name, {
      row: isLeaving ? { ...row, state: InstanceState.Leaving } : row,
      heartbeat: hasAdvanced ? row.heartbeat : known.heartbeat,
      advancedMilliseconds: hasAdvanced ? this.noteAdvance() : known.advancedMilliseconds,
      rowMilliseconds: this.clock.monotonicMilliseconds(),
      forwards: 0,
    });
    return true;
  }

  /** Takes a heartbeat that was passed on without its row. */
  takeHeartbeat([tag, heartbeat]: HeartbeatEntry): void {
    const name = this.tags.get(tag);
    const member = name === undefined ? undefined : this.members.get(name);
    if (name !== undefined && member !== undefined && heartbeat > member.heartbeat) {
      this.members.set(name, { ...member, heartbeat, advancedMilliseconds: this.noteAdvance() });
    }
  }

  /** Records that an instance is leaving. Returns whether that is news about a known run. */
  markLeaving({ name, incarnation }: InstanceIdentity): boolean {
    const member = this.members.get(name);
    const isNews =
      member?.row.identity.incarnation === incarnation && member.row.state === InstanceState.Live;
    if (isNews) {
      const row = { ...member.row, state: InstanceState.Leaving };
      this.members.set(name, { ...member, row, forwards: 0 });
    }
    return isNews;
  }

  markForwarded(member: Member): void {
    const { name } = member.row.identity;
    this.members.set(name, { ...member, forwards: member.forwards + 1 });
  }

  /** What is known about one run of an instance. */
  liveness(incarnation: string): Liveness {
    if (incarnation === this.identity.incarnation) {
      return Liveness.Live;
    }
    if (this.superseded.has(incarnation)) {
      return Liveness.Dead;
    }
    const name = this.tags.get(hashString(incarnation));
    const member = name === undefined ? this.findRun(incarnation) : this.members.get(name);
    return member?.row.identity.incarnation === incarnation
      ? this.livenessOf(member)
      : Liveness.Unknown;
  }

  /** Observed time since a heartbeat of the instance last advanced. */
  heartbeatAgeMilliseconds(member: Member): number {
    return this.observedMilliseconds - member.advancedMilliseconds;
  }

  livenessOf(member: Member): Liveness {
    const factor = member.row.identity.zone === this.identity.zone ? 1 : OTHER_ZONE_FACTOR;
    const age = this.heartbeatAgeMilliseconds(member);
    if (age > DEAD_MILLISECONDS * factor) {
      return this.isIsolated ? Liveness.Suspect : Liveness.Dead;
    }
    if (member.row.state === InstanceState.Leaving) {
      return Liveness.Leaving;
    }
    return age > SUSPECT_MILLISECONDS * factor ? Liveness.Suspect : Liveness.Live;
  }

  /**
   * Peers to keep links to: 3 in the own zone and 1 in each of up to two other zones. The seeds of
   * the settings are added only while no other instance seems to live.
   */
  neighbours(): PeerAddress[] {
    const zones = this.candidateZones();
    const own = this.bestOf(zones.get(this.identity.zone) ?? [], OWN_ZONE_NEIGHBOURS);
    const otherZones = [...zones.keys()].filter((zone) => zone !== this.identity.zone);
    const others = rendezvousOrder(this.identity.name, otherZones)
      .slice(0, OTHER_ZONE_NEIGHBOURS)
      .flatMap((zone) => this.bestOf(zones.get(zone) ?? [], 1));
    const known = [...own, ...others];
    const isAlone = [...zones.values()].flat().every(({ isLikely }) => !isLikely);
    return isAlone ? [...known, ...this.unknownSeeds()] : known;
  }

  /** Whether no instance of the own zone is silent. */
  get hearsOwnZone(): boolean {
    return [...this.present()].every(
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
      .slice(0, CONFIGURATION_WATCHERS)
      .includes(name);
  }

  /** Seeds of which neither the list nor a peer has said where they are. */
  private unknownSeeds(): PeerAddress[] {
    return this.seeds.filter(({ name }) => !this.listed.has(name) && !this.members.has(name));
  }

  /** Nobody has been heard for a while, so silence says nothing about the others. */
  private get isIsolated(): boolean {
    return this.observedMilliseconds - this.lastAdvanceMilliseconds > SUSPECT_MILLISECONDS;
  }

  private noteAdvance(): number {
    this.lastAdvanceMilliseconds = this.observedMilliseconds;
    return this.observedMilliseconds;
  }

  private replaceRun(known: Member | undefined, row: DigestRow): void {
    if (known !== undefined) {
      this.superseded.add(known.row.identity.incarnation);
      const [oldest] = this.superseded;
      if (this.superseded.size > SUPERSEDED_LIMIT && oldest !== undefined) {
        this.superseded.delete(oldest);
      }
      this.tags.delete(hashString(known.row.identity.incarnation));
    }
    const { name, incarnation } = row.identity;
    const tag = hashString(incarnation);
    this.tags.set(tag, this.tags.has(tag) ? undefined : name);
  }

  private findRun(incarnation: string): Member | undefined {
    return [...this.members.values()].find(
      (member) => member.row.identity.incarnation === incarnation,
    );
  }

  /** Addresses by zone: those that seem to live first; dead and unlisted ones as a last resort. */
  private candidateZones(): Map<string, { address: PeerAddress; isLikely: boolean }[]> {
    const zones = new Map<string, { address: PeerAddress; isLikely: boolean }[]>();
    const names = new Set([...this.listed.keys(), ...this.members.keys()]);
    for (const name of names) {
      const listed = this.listed.get(name);
      const member = this.members.get(name);
      const liveness = member === undefined ? Liveness.Unknown : this.livenessOf(member);
      const zone = member?.row.identity.zone ?? listed?.zone;
      const url = member?.row.peersUrl ?? listed?.peersUrl;
      const isLeaving =
        liveness === Liveness.Leaving ||
        (member === undefined && listed?.state === InstanceState.Leaving);
      if (zone !== undefined && url !== undefined && !isLeaving) {
        const candidate = { address: { name, url }, isLikely: liveness !== Liveness.Dead };
        zones.set(zone, [...(zones.get(zone) ?? []), candidate]);
      }
    }
    return zones;
  }

  private bestOf(
    candidates: readonly { address: PeerAddress; isLikely: boolean }[],
    count: number,
  ): PeerAddress[] {
    const byName = new Map(candidates.map((each) => [each.address.name, each]));
    const ordered = rendezvousOrder(this.identity.name, [...byName.keys()]).flatMap((name) => {
      const candidate = byName.get(name);
      return candidate === undefined ? [] : [candidate];
    });
    return [
      ...ordered.filter(({ isLikely }) => isLikely),
      ...ordered.filter(({ isLikely }) => !isLikely),
    ]
      .slice(0, count)
      .map(({ address }) => address);
  }
}
