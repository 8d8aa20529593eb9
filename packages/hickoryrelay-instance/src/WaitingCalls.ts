import type { Call } from 'hickoryrelay-link/Call';
import type { AdmissionTicket } from './AdmissionPolicy.js';
import type { CallCost } from './CallCost.js';

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

  private readonly calls: WaitingCall[] = [];

  private cost = 0;

  constructor(account: string) {
    this.account = account;
  }

  get size(): number {
    return this.calls.length;
  }

  get queuedCost(): number {
    return this.cost;
  }

  get first(): WaitingCall | undefined {
    return this.calls[0];
  }

  get last(): WaitingCall | undefined {
    return this.calls.at(-1);
  }

  insert(entry: WaitingCall): void {
    let low = 0;
    let high = this.calls.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const other = this.calls[middle];
      if (other !== undefined && other.latestStartMilliseconds <= entry.latestStartMilliseconds) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    this.calls.splice(low, 0, entry);
    this.cost += entry.cost.total;
  }

  remove(entry: WaitingCall): boolean {
    const index = this.calls.indexOf(entry);
    if (index < 0) {
      return false;
    }
    this.calls.splice(index, 1);
    this.cost = this.calls.length === 0 ? 0 : this.cost - entry.cost.total;
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

  private cost = 0;

  private count = 0;

  get size(): number {
    return this.count;
  }

  get queuedCost(): number {
    return this.cost;
  }

  get accountCount(): number {
    return this.linesByAccount.size;
  }

  get accounts(): IterableIterator<string> {
    return this.linesByAccount.keys();
  }

  get lines(): IterableIterator<WaitingLine> {
    return this.linesByAccount.values();
  }

  line(account: string): WaitingLine | undefined {
    return this.linesByAccount.get(account);
  }

  insert(entry: WaitingCall): void {
    let line = this.linesByAccount.get(entry.account);
    if (line === undefined) {
      line = new WaitingLine(entry.account);
      this.linesByAccount.set(entry.account, line);
    }
    line.insert(entry);
    this.cost += entry.cost.total;
    this.count += 1;
  }

  /** Returns false if the call no longer waits. */
  remove(entry: WaitingCall): boolean {
    const line = this.linesByAccount.get(entry.account);
    if (line?.remove(entry) !== true) {
      return false;
    }
    this.count -= 1;
    this.cost = this.count === 0 ? 0 : this.cost - entry.cost.total;
    if (line.size === 0) {
      this.linesByAccount.delete(entry.account);
    }
    return true;
  }
}
