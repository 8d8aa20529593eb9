import { LeastSlackQueue } from './LeastSlackQueue.js';

import type { CallCost } from './CallCosts.js';
import type { VirtualClock } from './FairShare.js';
import type { WaitingCall } from './WaitingCall.js';

/** A call queued for admission. */
export interface QueuedCall extends WaitingCall {
  readonly cost: CallCost;
  /** Latest time at which the call may start and still meet its lateness target. */
  readonly latestStartMilliseconds: number;
}

/** Sums the costs up to a priority. All calls usually have one, so that the total is the answer. */
function costAhead(
  calls: LeastSlackQueue<QueuedCall>,
  totalCost: number,
  priority: number,
): number {
  if ((calls.last?.priority ?? priority) <= priority) {
    return totalCost;
  }
  let cost = 0;
  for (const entry of calls) {
    if (entry.priority > priority) {
      break;
    }
    cost += entry.cost.total;
  }
  return cost;
}

/** Queued calls of one account to one destination, least slack first. */
export class AccountQueue<TEntry extends QueuedCall> {
  readonly account: string;

  readonly virtualClock: VirtualClock;

  private readonly calls = new LeastSlackQueue<TEntry>();

  private cost = 0;

  constructor(account: string, virtualClock: VirtualClock) {
    this.account = account;
    this.virtualClock = virtualClock;
  }

  get size(): number {
    return this.calls.size;
  }

  get queuedCost(): number {
    return this.cost;
  }

  get first(): TEntry | undefined {
    return this.calls.first;
  }

  get last(): TEntry | undefined {
    return this.calls.last;
  }

  insert(entry: TEntry): void {
    this.calls.insert(entry);
    this.cost += entry.cost.total;
  }

  remove(entry: TEntry): boolean {
    if (!this.calls.remove(entry)) {
      return false;
    }
    this.cost = this.calls.size === 0 ? 0 : this.cost - entry.cost.total;
    return true;
  }

  /** Cost of the queued calls that a new call with this priority would wait for. */
  costAhead(priority: number): number {
    return costAhead(this.calls, this.cost, priority);
  }

  /** Returns the most expensive call of a class, if any. */
  mostExpensive(className: string): TEntry | undefined {
    let mostExpensive: TEntry | undefined;
    for (const entry of this.calls) {
      if (
        entry.className === className &&
        (mostExpensive === undefined || entry.cost.total > mostExpensive.cost.total)
      ) {
        mostExpensive = entry;
      }
    }
    return mostExpensive;
  }
}

/** Queued calls to one destination, by account. Accounts without queued calls are removed. */
export class DestinationQueue<TEntry extends QueuedCall> {
  private readonly queuesByAccount = new Map<string, AccountQueue<TEntry>>();

  /** All calls. The first one whose account is within its share starts next. */
  readonly calls = new LeastSlackQueue<TEntry>();

  private cost = 0;

  get size(): number {
    return this.calls.size;
  }

  get queuedCost(): number {
    return this.cost;
  }

  get accountCount(): number {
    return this.queuesByAccount.size;
  }

  /** The queues of the individual accounts. */
  get lines(): IterableIterator<AccountQueue<TEntry>> {
    return this.queuesByAccount.values();
  }

  /** Cost of the queued calls that a new call with this priority would wait for. */
  costAhead(priority: number): number {
    return costAhead(this.calls, this.cost, priority);
  }

  /** Number of the queued calls that a new call with this priority would wait for. */
  callsAhead(priority: number): number {
    let count = 0;
    for (const entry of this.calls) {
      if (entry.priority > priority) {
        break;
      }
      count += 1;
    }
    return count;
  }

  accountQueue(account: string): AccountQueue<TEntry> | undefined {
    return this.queuesByAccount.get(account);
  }

  insert(entry: TEntry, virtualClock: VirtualClock): void {
    let accountQueue = this.queuesByAccount.get(entry.account);
    if (accountQueue === undefined) {
      accountQueue = new AccountQueue<TEntry>(entry.account, virtualClock);
      this.queuesByAccount.set(entry.account, accountQueue);
    }
    accountQueue.insert(entry);
    this.calls.insert(entry);
    this.cost += entry.cost.total;
  }

  /** Returns false if the call is not queued. */
  remove(entry: TEntry): boolean {
    const accountQueue = this.queuesByAccount.get(entry.account);
    if (accountQueue?.remove(entry) !== true) {
      return false;
    }
    this.calls.remove(entry);
    this.cost = this.calls.size === 0 ? 0 : this.cost - entry.cost.total;
    if (accountQueue.size === 0) {
      this.queuesByAccount.delete(entry.account);
    }
    return true;
  }
}
