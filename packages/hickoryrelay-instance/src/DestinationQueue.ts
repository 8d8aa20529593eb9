import { LeastSlackQueue } from './LeastSlackQueue.js';
import type { AdmissionTicket } from './AdmissionPolicy.js';
import type { CallCost } from './CallCostModel.js';
import type { VirtualClock } from './FairShare.js';
import type { Call } from 'hickoryrelay-link/Call';

/** A call queued for admission. */
export interface QueuedCall {
  readonly call: Call;
  readonly account: string;
  /** Model or route. Calls with the same destination run on the same endpoints. */
  readonly destination: string;
  readonly cost: CallCost;
  /** Latest time at which the call may start and still meet its lateness target. */
  readonly latestStartMilliseconds: number;
  readonly resolve: (ticket: AdmissionTicket) => void;
  readonly reject: (error: Error) => void;
}

/** Queued calls of one account to one destination, least slack first. */
export class AccountQueue {
  readonly account: string;

  readonly virtualClock: VirtualClock;

  private readonly calls = new LeastSlackQueue();

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

  get first(): QueuedCall | undefined {
    return this.calls.first;
  }

  get last(): QueuedCall | undefined {
    return this.calls.last;
  }

  insert(entry: QueuedCall): void {
    this.calls.insert(entry);
    this.cost += entry.cost.total;
  }

  remove(entry: QueuedCall): boolean {
    if (!this.calls.remove(entry)) {
      return false;
    }
    this.cost = this.calls.size === 0 ? 0 : this.cost - entry.cost.total;
    return true;
  }

  /** Returns the most expensive call of a class, if any. */
  mostExpensive(className: string): QueuedCall | undefined {
    let mostExpensive: QueuedCall | undefined;
    for (const entry of this.calls) {
      if (
        entry.call.className === className &&
        (mostExpensive === undefined || entry.cost.total > mostExpensive.cost.total)
      ) {
        mostExpensive = entry;
      }
    }
    return mostExpensive;
  }
}

/** Queued calls to one destination, by account. Accounts without queued calls are removed. */
export class DestinationQueue {
  private readonly queuesByAccount = new Map<string, AccountQueue>();

  /** All calls. The first one whose account is within its share starts next. */
  readonly calls = new LeastSlackQueue();

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
  get lines(): IterableIterator<AccountQueue> {
    return this.queuesByAccount.values();
  }

  accountQueue(account: string): AccountQueue | undefined {
    return this.queuesByAccount.get(account);
  }

  insert(entry: QueuedCall, virtualClock: VirtualClock): void {
    let accountQueue = this.queuesByAccount.get(entry.account);
    if (accountQueue === undefined) {
      accountQueue = new AccountQueue(entry.account, virtualClock);
      this.queuesByAccount.set(entry.account, accountQueue);
    }
    accountQueue.insert(entry);
    this.calls.insert(entry);
    this.cost += entry.cost.total;
  }

  /** Returns false if the call is not queued. */
  remove(entry: QueuedCall): boolean {
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
