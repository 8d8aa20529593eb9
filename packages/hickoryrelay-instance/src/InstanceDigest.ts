import { hashString } from 'hickoryrelay/RendezvousUtils';
import { InstanceState } from 'hickoryrelay-platform/InstanceList';

import { Liveness } from './Membership.js';
import { ZoneWork } from './ZoneWork.js';
import type { Member, Membership } from './Membership.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { CleanUp } from 'hickoryrelay/LifecycleManager';
import type { ConfigurationStatus } from 'hickoryrelay-link/PeerLink';
import type { DigestRow, HeartbeatEntry, PeerMessage } from 'hickoryrelay-link/PeerMessages';

const ROWS_OF_OTHERS = 8;
const COSTS_IN_ROW = 8;
const ROWS_IN_MESSAGE = 64;
const OWN_ZONE_HEARTBEATS = 64;
const OTHER_ZONE_HEARTBEATS = 32;

/** Accounts that there is room for at first. */
const FIRST_ACCOUNTS = 16;

/** An older heartbeat is known to most others already, and would not end a suspicion for long. */
const PASSED_ON_MILLISECONDS = 2500;

/** Told of cost that an account used at other instances. */
export type CostObserver = (account: string, cost: number) => void;

/** The messages of one second. */
export interface DigestMessages {
  /** The own row, fresh rows of others and heartbeats. */
  readonly whole: PeerMessage;
  /** The own row and heartbeats, which cost a third. */
  readonly brief: PeerMessage;
}

interface OwnCost {
  readonly total: number;
  /** Moves half-way to the total with each listing, so that a lost row is made up for. */
  readonly listed: number;
}

/** Totals of one run of an instance by account, held as numbers alone. */
class HeardCosts {
  readonly incarnation: string;

  private totals = new Float64Array(FIRST_ACCOUNTS);

  constructor(incarnation: string) {
    this.incarnation = incarnation;
  }

  /** Replaces a total if the new one is higher. Returns the difference. */
  raise(accountIndex: number, total: number): number {
    if (accountIndex >= this.totals.length) {
      const longer = new Float64Array(2 * accountIndex);
      longer.set(this.totals);
      this.totals = longer;
    }
    const added = Math.max(0, total - (this.totals[accountIndex] ?? 0));
    this.totals[accountIndex] = (this.totals[accountIndex] ?? 0) + added;
    return added;
  }
}

/** What this instance tells the others each second, and what it has heard from them. */
export class InstanceDigest {
  /** Work at the instances of the own zone. */
  readonly work: ZoneWork;

  private readonly membership: Membership;

  private readonly clock: Clock;

  private readonly statement: () => ConfigurationStatus;

  private readonly peersUrl: () => string;

  private readonly ownCosts = new Map<string, OwnCost>();

  /** Totals heard from the present run of each instance, by instance name. */
  private readonly heardCosts = new Map<string, HeardCosts>();

  /** Position of each account in the totals; a name for each row would take ten times the memory. */
  private readonly accountIndexes = new Map<string, number>();

  private readonly costsElsewhere = new Map<string, number>();

  private readonly observers = new Set<CostObserver>();

  private heardRevision = 0;

  private heartbeat = 0;

  private state: InstanceState = InstanceState.Live;

  private otherZoneOffset = 0;

  constructor(
    membership: Membership,
    clock: Clock,
    statement: () => ConfigurationStatus,
    peersUrl: () => string,
  ) {
    this.work = new ZoneWork(membership.identity.zone);
    this.membership = membership;
    this.clock = clock;
    this.statement = statement;
    this.peersUrl = peersUrl;
  }

  /** Adds cost that an account used at this instance. */
  charge(account: string, cost: number): void {
    const own = this.ownCosts.get(account);
    const total = (own?.total ?? 0) + cost;
    this.ownCosts.set(account, { total, listed: own?.listed ?? 0 });
  }

  /** Calls the observer with each new cost at other instances. */
  subscribe(observer: CostObserver): CleanUp {
    this.observers.add(observer);
    return () => {
      this.observers.delete(observer);
    };
  }

  /** Cost by account that was used at other instances since this one first heard of them. */
  get costElsewhere(): ReadonlyMap<string, number> {
    return this.costsElsewhere;
  }

  /** Highest configuration revision that any instance has named. */
  get highestRevision(): number {
    return Math.max(this.heardRevision, this.statement().revision);
  }

  liveness(incarnation: string): Liveness {
    return this.membership.liveness(incarnation);
  }

  /**
   * Age of the freshest view in a zone, in milliseconds, by the rows heard. It leaves out how long
   * a row travelled, so it is for reports; keys are judged by the view's own age.
   */
  zoneViewAgeMilliseconds(zone: string): number {
    const now = this.clock.monotonicMilliseconds();
    const ages = [...this.membership.present()]
      .filter(({ row }) => row.identity.zone === zone)
      .map(({ row, rowMilliseconds }) => row.viewAgeMilliseconds + now - rowMilliseconds);
    const { zone: ownZone } = this.membership.identity;
    const own = zone === ownZone ? this.statement().viewAgeMilliseconds : Infinity;
    return Math.min(own, ...ages);
  }

  /** Says in all further rows that this instance takes no new work. */
  leave(): void {
    this.state = InstanceState.Leaving;
  }

  /** Drops what was heard from instances that are long dead. */
  forget(names: readonly string[]): void {
    names.forEach((name) => {
      this.heardCosts.delete(name);
      this.work.forget(name);
    });
  }

  noteRevision(revision: number): void {
    this.heardRevision = Math.max(this.heardRevision, revision);
  }

  /** Makes the messages of this second: all for one peer, and the heartbeats for some more. */
  nextMessages(): DigestMessages {
    this.heartbeat += 1;
    const present = [...this.membership.present()];
    const heartbeats = this.heartbeatEntries(present);
    const fresh = present
      .toSorted(
        (left, right) =>
          left.forwards - right.forwards || right.rowMilliseconds - left.rowMilliseconds,
      )
      .slice(0, ROWS_OF_OTHERS);
    fresh.forEach((member) => this.membership.markForwarded(member));
    const ownRow = this.ownRow();
    const rows = [ownRow, ...fresh.map(({ row }) => row)];
    return {
      whole: { type: 'digest', rows, heartbeats },
      brief: { type: 'digest', rows: [ownRow], heartbeats },
    };
  }

  /** Yields all rows in messages of bounded size, for an instance that has just started. */
  *wholeState(): Generator<PeerMessage, void, void> {
    const rows = [...this.membership.present()].map(({ row }) => row);
    for (let start = 0; start < rows.length; start += ROWS_IN_MESSAGE) {
      yield { type: 'digest', rows: rows.slice(start, start + ROWS_IN_MESSAGE), heartbeats: [] };
    }
  }

  /** Takes in the digest of a peer. */
  receive({ rows, heartbeats }: Extract<PeerMessage, { type: 'digest' }>): void {
    for (const row of rows) {
      if (this.membership.takeRow(row)) {
        this.noteRevision(row.revision);
        this.takeCosts(row);
        this.work.hear(row);
      }
    }
    for (const entry of heartbeats) {
      this.membership.takeHeartbeat(entry);
    }
  }

  private ownRow(): DigestRow {
    const largest = [...this.ownCosts]
      .filter(([, { total, listed }]) => total > listed)
      .toSorted(([, left], [, right]) => right.total - right.listed - (left.total - left.listed))
      .slice(0, COSTS_IN_ROW);
    return {
      identity: this.membership.identity,
      heartbeat: this.heartbeat,
      state: this.state,
      ...this.statement(),
      peersUrl: this.peersUrl(),
      costs: largest.map(([account, own]) => {
        const isSmall = own.total - own.listed < 1;
        const listed = isSmall ? own.total : (own.total + own.listed) / 2;
        this.ownCosts.set(account, { total: own.total, listed });
        return [account, own.total];
      }),
      work: this.work.nextTotals(),
    };
  }

  private heartbeatEntries(present: readonly Member[]): HeartbeatEntry[] {
    const { zone } = this.membership.identity;
    const live = present.filter(
      (member) => this.membership.livenessOf(member) !== Liveness.Suspect,
    );
    const own = live.filter(
      (member) =>
        member.row.identity.zone === zone &&
        this.membership.heartbeatAgeMilliseconds(member) <= PASSED_ON_MILLISECONDS,
    );
    const others = live.filter(({ row }) => row.identity.zone !== zone);
    const newest = own.toSorted(
      (left, right) => right.advancedMilliseconds - left.advancedMilliseconds,
    );
    const start = others.length === 0 ? 0 : this.otherZoneOffset % others.length;
    this.otherZoneOffset = start + OTHER_ZONE_HEARTBEATS;
    const turn = [...others.slice(start), ...others.slice(0, start)];
    return [...newest.slice(0, OWN_ZONE_HEARTBEATS), ...turn.slice(0, OTHER_ZONE_HEARTBEATS)].map(
      ({ row, heartbeat }) => [hashString(row.identity.incarnation), heartbeat],
    );
  }

  private takeCosts(row: DigestRow): void {
    const { name, incarnation } = row.identity;
    const previousRun = this.heardCosts.get(name);
    const isKnown = previousRun?.incarnation === incarnation;
    const heard = isKnown ? previousRun : new HeardCosts(incarnation);
    this.heardCosts.set(name, heard);
    // A run that was there before this instance starts to count with its first row.
    const isCounted = isKnown || previousRun !== undefined || row.heartbeat <= 1;
    for (const [account, total] of row.costs) {
      const added = heard.raise(this.accountIndex(account), total);
      if (added > 0 && isCounted) {
        this.costsElsewhere.set(account, (this.costsElsewhere.get(account) ?? 0) + added);
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
