import { hashString } from 'hickoryrelay/RendezvousUtils';
import { InstanceState } from 'hickoryrelay-platform/InstanceList';

import { Liveness } from './Membership.js';
import { ZoneWork } from './ZoneWork.js';
import type { Member, Membership } from './Membership.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { CleanUp } from 'hickoryrelay/LifecycleManager';
import type { ConfigurationStatus } from 'hickoryrelay-link/PeerLink';
import type { DigestRow, HeartbeatEntry, PeerMessage } from 'hickoryrelay-link/PeerMessages';

const FORWARDED_ROWS_PER_DIGEST = 8;
const MAXIMUM_COSTS_PER_ROW = 8;
const MAXIMUM_ROWS_PER_MESSAGE = 64;
const MAXIMUM_OWN_ZONE_HEARTBEATS = 64;
const MAXIMUM_OTHER_ZONE_HEARTBEATS = 32;

const INITIAL_ACCOUNT_CAPACITY = 16;

/** Older heartbeats are known to most instances and would clear a suspicion only briefly. */
const MAXIMUM_FORWARDED_HEARTBEAT_AGE_MILLISECONDS = 2500;

/** What a row states about the configuration. */
type ViewStatus = Pick<ConfigurationStatus, 'revision' | 'viewAgeMilliseconds'>;

/** Called with cost that an account incurred at other instances. */
export type CostObserver = (account: string, cost: number) => void;

/** The digests of one gossip round. */
export interface DigestMessages {
  /** The own row, forwarded rows of others and heartbeats. */
  readonly full: PeerMessage;
  /** The own row and heartbeats; a third of the size of a full digest. */
  readonly compact: PeerMessage;
}

interface LocalCost {
  readonly total: number;
  /**
   * Moves halfway to the total each time it is published, so that the cost is published again in
   * case a row is lost.
   */
  readonly published: number;
}

/** Cost totals of one incarnation of an instance, indexed by account. */
class RemoteCostTotals {
  readonly incarnation: string;

  private totals = new Float64Array(INITIAL_ACCOUNT_CAPACITY);

  constructor(incarnation: string) {
    this.incarnation = incarnation;
  }

  /** Raises a total if the new one is higher. Returns the increase. */
  increaseTo(accountIndex: number, total: number): number {
    if (accountIndex >= this.totals.length) {
      const larger = new Float64Array(2 * accountIndex);
      larger.set(this.totals);
      this.totals = larger;
    }
    const added = Math.max(0, total - (this.totals[accountIndex] ?? 0));
    this.totals[accountIndex] = (this.totals[accountIndex] ?? 0) + added;
    return added;
  }
}

/** Creates the digests that this instance sends each second and applies those of its peers. */
export class InstanceDigest {
  /** Work offered to the instances of the own zone. */
  readonly work: ZoneWork;

  private readonly membership: Membership;

  private readonly clock: Clock;

  private readonly statement: () => ViewStatus;

  private readonly peersUrl: () => string;

  private readonly localCosts = new Map<string, LocalCost>();

  /** Totals of the current incarnation of each instance, by instance name. */
  private readonly remoteCostTotals = new Map<string, RemoteCostTotals>();

  /** Indexes into the totals. Account names in each of them would take ten times the memory. */
  private readonly accountIndexes = new Map<string, number>();

  private readonly remoteCosts = new Map<string, number>();

  private readonly observers = new Set<CostObserver>();

  private highestReceivedRevision = 0;

  private heartbeat = 0;

  private state: InstanceState = InstanceState.Live;

  private otherZoneOffset = 0;

  constructor(
    membership: Membership,
    clock: Clock,
    statement: () => ViewStatus,
    peersUrl: () => string,
  ) {
    this.work = new ZoneWork(membership.identity.zone);
    this.membership = membership;
    this.clock = clock;
    this.statement = statement;
    this.peersUrl = peersUrl;
  }

  /** Adds cost that an account incurred at this instance. */
  charge(account: string, cost: number): void {
    const previous = this.localCosts.get(account);
    const total = (previous?.total ?? 0) + cost;
    this.localCosts.set(account, { total, published: previous?.published ?? 0 });
  }

  /** Calls the observer with each increase of cost at other instances. */
  subscribe(observer: CostObserver): CleanUp {
    this.observers.add(observer);
    return () => {
      this.observers.delete(observer);
    };
  }

  /** Cost by account at other instances, since this one first received a row of each. */
  get remoteCostByAccount(): ReadonlyMap<string, number> {
    return this.remoteCosts;
  }

  /** Highest configuration revision that this instance or a peer has reported. */
  get highestRevision(): number {
    return Math.max(this.highestReceivedRevision, this.statement().revision);
  }

  liveness(incarnation: string): Liveness {
    return this.membership.liveness(incarnation);
  }

  /**
   * Age of the freshest configuration view in a zone, according to the rows received. It omits
   * the transit time of the rows, so it serves for reporting only; keys are checked against the
   * age of the view itself.
   */
  zoneViewAgeMilliseconds(zone: string): number {
    const now = this.clock.monotonicMilliseconds();
    const ages = [...this.membership.activeMembers()]
      .filter(({ row }) => row.identity.zone === zone)
      .map(
        ({ row, rowReceivedMilliseconds }) =>
          row.viewAgeMilliseconds + now - rowReceivedMilliseconds,
      );
    const { zone: ownZone } = this.membership.identity;
    const ownAgeMilliseconds = zone === ownZone ? this.statement().viewAgeMilliseconds : Infinity;
    return Math.min(ownAgeMilliseconds, ...ages);
  }

  /** Publishes in all further rows that this instance accepts no new work. */
  leave(): void {
    this.state = InstanceState.Leaving;
  }

  /** Drops the state of instances that were removed from the membership. */
  removeInstances(names: readonly string[]): void {
    names.forEach((name) => {
      this.remoteCostTotals.delete(name);
      this.work.removeInstance(name);
    });
  }

  recordRevision(revision: number): void {
    this.highestReceivedRevision = Math.max(this.highestReceivedRevision, revision);
  }

  /** Creates the digests of one gossip round: a full one for one peer, a compact one for others. */
  createMessages(): DigestMessages {
    this.heartbeat += 1;
    const active = [...this.membership.activeMembers()];
    const heartbeats = this.heartbeatEntries(active);
    const forwarded = active
      .toSorted(
        (left, right) =>
          left.forwardCount - right.forwardCount ||
          right.rowReceivedMilliseconds - left.rowReceivedMilliseconds,
      )
      .slice(0, FORWARDED_ROWS_PER_DIGEST);
    forwarded.forEach((member) => this.membership.recordForward(member));
    const ownRow = this.createOwnRow();
    const rows = [ownRow, ...forwarded.map(({ row }) => row)];
    return {
      full: { type: 'digest', rows, heartbeats },
      compact: { type: 'digest', rows: [ownRow], heartbeats },
    };
  }

  /** Yields the rows of all active members in messages of bounded size, for a new instance. */
  *fullState(): Generator<PeerMessage, void, void> {
    const rows = [...this.membership.activeMembers()].map(({ row }) => row);
    for (let start = 0; start < rows.length; start += MAXIMUM_ROWS_PER_MESSAGE) {
      yield {
        type: 'digest',
        rows: rows.slice(start, start + MAXIMUM_ROWS_PER_MESSAGE),
        heartbeats: [],
      };
    }
  }

  receive({ rows, heartbeats }: Extract<PeerMessage, { type: 'digest' }>): void {
    for (const row of rows) {
      if (this.membership.applyRow(row)) {
        this.recordRevision(row.revision);
        this.applyCosts(row);
        this.work.applyRow(row);
      }
    }
    for (const entry of heartbeats) {
      this.membership.applyHeartbeat(entry);
    }
  }

  private createOwnRow(): DigestRow {
    const largestIncreases = [...this.localCosts]
      .filter(([, { total, published }]) => total > published)
      .toSorted(
        ([, left], [, right]) => right.total - right.published - (left.total - left.published),
      )
      .slice(0, MAXIMUM_COSTS_PER_ROW);
    const { revision, viewAgeMilliseconds } = this.statement();
    return {
      identity: this.membership.identity,
      heartbeat: this.heartbeat,
      state: this.state,
      revision,
      viewAgeMilliseconds,
      peersUrl: this.peersUrl(),
      costs: largestIncreases.map(([account, own]) => {
        const isSmall = own.total - own.published < 1;
        const published = isSmall ? own.total : (own.total + own.published) / 2;
        this.localCosts.set(account, { total: own.total, published });
        return [account, own.total];
      }),
      work: this.work.nextTotals(),
    };
  }

  private heartbeatEntries(active: readonly Member[]): HeartbeatEntry[] {
    const { zone } = this.membership.identity;
    const live = active.filter((member) => this.membership.livenessOf(member) !== Liveness.Suspect);
    const ownZoneMembers = live.filter(
      (member) =>
        member.row.identity.zone === zone &&
        this.membership.heartbeatAgeMilliseconds(member) <=
          MAXIMUM_FORWARDED_HEARTBEAT_AGE_MILLISECONDS,
    );
    const otherZoneMembers = live.filter(({ row }) => row.identity.zone !== zone);
    const newest = ownZoneMembers.toSorted(
      (left, right) => right.heartbeatAdvancedMilliseconds - left.heartbeatAdvancedMilliseconds,
    );
    const start =
      otherZoneMembers.length === 0 ? 0 : this.otherZoneOffset % otherZoneMembers.length;
    this.otherZoneOffset = start + MAXIMUM_OTHER_ZONE_HEARTBEATS;
    const rotated = [...otherZoneMembers.slice(start), ...otherZoneMembers.slice(0, start)];
    return [
      ...newest.slice(0, MAXIMUM_OWN_ZONE_HEARTBEATS),
      ...rotated.slice(0, MAXIMUM_OTHER_ZONE_HEARTBEATS),
    ].map(({ row, heartbeat }) => [hashString(row.identity.incarnation), heartbeat]);
  }

  private applyCosts(row: DigestRow): void {
    const { name, incarnation } = row.identity;
    const previous = this.remoteCostTotals.get(name);
    const isSameIncarnation = previous?.incarnation === incarnation;
    const totals = isSameIncarnation ? previous : new RemoteCostTotals(incarnation);
    this.remoteCostTotals.set(name, totals);
    // The first row received of an incarnation that started earlier only sets the baseline.
    const isCounted = isSameIncarnation || previous !== undefined || row.heartbeat <= 1;
    for (const [account, total] of row.costs) {
      const added = totals.increaseTo(this.accountIndex(account), total);
      if (added > 0 && isCounted) {
        this.remoteCosts.set(account, (this.remoteCosts.get(account) ?? 0) + added);
        this.observers.forEach((observer) => observer(account, added));
      }
    }
  }

  private accountIndex(account: string): number {
    const index = this.accountIndexes.get(account) ?? this.accountIndexes.size;
    this.accountIndexes.set(account, index);
    return index;
  }
}
