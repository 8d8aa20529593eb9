import { SlackOrder } from './SlackOrder.js';
import type { AdmissionTicket } from './AdmissionPolicy.js';
import type { CallCost } from './CallCost.js';
import type { AccountClock } from './FairShare.js';
import type { Call } from 'hickoryrelay-link/Call';

/** A call that waits for admission. */
export interface WaitingCall {
  readonly call: Call;
  readonly account: string;
  /** Model or route: calls of one lane run on the same endpoints. */
  readonly lane: string;
  readonly cost: CallCost;
  /** Latest time at which the call may start and still meet its lateness target. */
  readonly latestStartMilliseconds: number;
  readonly resolve: (ticket: AdmissionTicket) => void;
  readonly reject: (error: Error) => void;
}

/** The calls of one account that wait in one lane, least slack first. */
export class WaitingLine {
  readonly account: string;

  readonly clock: AccountClock;

  private readonly calls = new SlackOrder();

  private cost = 0;

  constructor(account: string, clock: AccountClock) {
    this.account = account;
    this.clock = clock;
  }

  get size(): number {
    return this.calls.size;
  }

  get queuedCost(): number {
    return this.cost;
  }

  get first(): WaitingCall | undefined {
    return this.calls.first;
  }

  get last(): WaitingCall | undefined {
    return this.calls.last;
  }

  insert(entry: WaitingCall): void {
    this.calls.insert(entry);
    this.cost += entry.cost.total;
  }

  remove(entry: WaitingCall): boolean {
    if (!this.calls.remove(entry)) {
      return false;
    }
    this.cost = this.calls.size === 0 ? 0 : this.cost - entry.cost.total;
    return true;
  }

  /** The most expensive call of a class, if any. */
  costliest(className: string): WaitingCall | undefined {
    let found: WaitingCall | undefined;
    for (const entry of this.calls) {
      if (
        entry.call.className === className &&
        (found === undefined || entry.cost.total > found.cost.total)
      ) {
        found = entry;
      }
    }
    return found;
  }
}

/** All calls that wait in one lane, by account. Accounts without calls are not kept. */
export class WaitingLane {
  private readonly linesByAccount = new Map<string, WaitingLine>();

  /** All calls of the lane. The first one of an account within its share is the next to start. */
  readonly calls = new SlackOrder();

  private cost = 0;

  get size(): number {
    return this.calls.size;
  }

  get queuedCost(): number {
    return this.cost;
  }

  get accountCount(): number {
    return this.linesByAccount.size;
  }

  get lines(): IterableIterator<WaitingLine> {
    return this.linesByAccount.values();
  }

  line(account: string): WaitingLine | undefined {
    return this.linesByAccount.get(account);
  }

  insert(entry: WaitingCall, clock: AccountClock): void {
    let line = this.linesByAccount.get(entry.account);
    if (line === undefined) {
      line = new WaitingLine(entry.account, clock);
      this.linesByAccount.set(entry.account, line);
    }
    line.insert(entry);
    this.calls.insert(entry);
    this.cost += entry.cost.total;
  }

  /** Returns false if the call no longer waits. */
  remove(entry: WaitingCall): boolean {
    const line = this.linesByAccount.get(entry.account);
    if (line?.remove(entry) !== true) {
      return false;
    }
    this.calls.remove(entry);
    this.cost = this.calls.size === 0 ? 0 : this.cost - entry.cost.total;
    if (line.size === 0) {
      this.linesByAccount.delete(entry.account);
    }
    return true;
  }
}
