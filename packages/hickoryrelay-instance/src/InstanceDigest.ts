import { InstanceState } from 'hickoryrelay-platform/InstanceList';

import type { Clock } from 'hickoryrelay/Clock';
import type { CleanUp } from 'hickoryrelay/LifecycleManager';
import type { PeerStatement } from 'hickoryrelay-link/PeerLink';
import type { DigestRow, HeartbeatEntry, PeerMessage } from 'hickoryrelay-link/PeerMessages';
import { Liveness } from './Membership.js';
import { hashText } from './RendezvousUtils.js';

import type { Member, Membership } from './Membership.js';

const ROWS_OF_OTHERS = 8;
const COSTS_IN_ROW = 8;
const OWN_ZONE_HEARTBEATS = 64;
const OTHER_ZONE_HEARTBEATS = 32;

/** Told of cost that an account used at other instances. */
export type CostObserver = (account: string, cost: number) => void;

interface OwnCost {
  readonly total: number;
  /** Moves half-way to the total with each listing, so that a lost row is made up for. */
  readonly listed: number;
}

interface HeardCosts {
  readonly incarnation: string;
  readonly totals: Map<string, number>;
}

/** What this instance tells the others each second, and what it has heard from them. */
export class InstanceDigest {
  private readonly membership: Membership;

  private readonly clock: Clock;

  private readonly statement: () => PeerStatement;

  private readonly peersUrl: () => string;

  private readonly ownCosts = new Map<string, OwnCost>();

  /** Totals heard from the present run of each instance, by instance name. */
  private readonly heardCosts = new Map<string, HeardCosts>();

  private readonly costsElsewhere = new Map<string, number>();

  private readonly observers = new Set<CostObserver>();

  private heardRevision = 0;

  private heartbeat = 0;

  private state: InstanceState = InstanceState.Live;

  private otherZoneOffset = 0;

  constructor(
    membership: Membership,
    clock: Clock,
    statement: () => PeerStatement,
    peersUrl: () => string,
  ) {
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
    names.forEach((name) => this.heardCosts.delete(name));
  }

  noteRevision(revision: number): void {
    this.heardRevision = Math.max(this.heardRevision, revision);
  }

  /** Makes the message of this second: the own row, fresh rows of others and heartbeats. */
  nextMessage(): PeerMessage {
    this.heartbeat += 1;
    const present = [...this.membership.present()];
    const fresh = present
      .toSorted(
        (left, right) =>
          left.forwards - right.forwards || right.rowMilliseconds - left.rowMilliseconds,
      )
      .slice(0, ROWS_OF_OTHERS);
    fresh.forEach((member) => this.membership.markForwarded(member));
    return {
      type: 'digest',
      rows: [this.ownRow(), ...fresh.map(({ row }) => row)],
      heartbeats: this.heartbeatEntries(present),
    };
  }

  /** Takes in the digest of a peer. */
  receive({ rows, heartbeats }: Extract<PeerMessage, { type: 'digest' }>): void {
    for (const row of rows) {
      if (this.membership.takeRow(row)) {
        this.noteRevision(row.revision);
        this.takeCosts(row);
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
    };
  }

  private heartbeatEntries(present: readonly Member[]): HeartbeatEntry[] {
    const { zone } = this.membership.identity;
    const live = present.filter(
      (member) => this.membership.livenessOf(member) !== Liveness.Suspect,
    );
    const own = live.filter(({ row }) => row.identity.zone === zone);
    const others = live.filter(({ row }) => row.identity.zone !== zone);
    const newest = own.toSorted(
      (left, right) => right.advancedMilliseconds - left.advancedMilliseconds,
    );
    const start = others.length === 0 ? 0 : this.otherZoneOffset % others.length;
    this.otherZoneOffset = start + OTHER_ZONE_HEARTBEATS;
    const turn = [...others.slice(start), ...others.slice(0, start)];
    return [...newest.slice(0, OWN_ZONE_HEARTBEATS), ...turn.slice(0, OTHER_ZONE_HEARTBEATS)].map(
      ({ row, heartbeat }) => [hashText(row.identity.incarnation), heartbeat],
    );
  }

  private takeCosts(row: DigestRow): void {
    const { name, incarnation } = row.identity;
    const previousRun = this.heardCosts.get(name);
    const isKnown = previousRun?.incarnation === incarnation;
    const totals = isKnown ? previousRun.totals : new Map<string, number>();
    this.heardCosts.set(name, { incarnation, totals });
    // A run that was there before this instance starts to count with its first row.
    const isCounted = isKnown || previousRun !== undefined || row.heartbeat <= 1;
    for (const [account, total] of row.costs) {
      const previous = totals.get(account) ?? 0;
      totals.set(account, Math.max(total, previous));
      if (total > previous && isCounted) {
        const added = total - previous;
        this.costsElsewhere.set(account, (this.costsElsewhere.get(account) ?? 0) + added);
        this.observers.forEach((observer) => observer(account, added));
      }
    }
  }
}
