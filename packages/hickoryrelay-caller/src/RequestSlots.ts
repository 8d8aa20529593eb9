import type { CallerAccount } from './CallerAccount.js';

/** A request that has been read whole and has not run. */
export abstract class WaitingRequest {
  abstract readonly account: CallerAccount;

  /** Lets the request run. Its slot must be released once. */
  abstract run(): void;

  /** Refuses the request, which never runs. */
  abstract refuse(): void;
}

/**
 * Decides which requests run at once, each of which may need a connection to an endpoint. The requests of one
 * connection run one at a time: a response that does not end whole closes the connection, and what runs behind it
 * would end without a response.
 */
export class RequestSlots {
  private readonly limit: number;

  /** Requests that wait, in order, of each connection that has a running one. */
  private readonly waitingByAccount = new Map<CallerAccount, WaitingRequest[]>();

  constructor(limit: number) {
    this.limit = limit;
  }

  /** Requests that run. */
  get running(): number {
    return this.waitingByAccount.size;
  }

  /**
   * Runs a request, or lets it wait behind the others of its connection. Refuses it if it would wait for other
   * callers.
   */
  enter(request: WaitingRequest): void {
    const waiting = this.waitingByAccount.get(request.account);
    if (waiting !== undefined) {
      waiting.push(request);
    } else if (this.running < this.limit) {
      this.waitingByAccount.set(request.account, []);
      request.run();
    } else {
      request.refuse();
    }
  }

  /** Releases the slot of a request that has run, to the next one of its connection if there is one. */
  release(account: CallerAccount): void {
    const next = this.waitingByAccount.get(account)?.shift();
    if (next === undefined) {
      this.waitingByAccount.delete(account);
    } else {
      next.run();
    }
  }

  /** Drops the waiting requests of a connection that has closed. */
  forget(account: CallerAccount): void {
    this.waitingByAccount.get(account)?.splice(0);
  }
}
