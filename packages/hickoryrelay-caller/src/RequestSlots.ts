import type { CallerAccount } from './CallerAccount.js';

/** Share of the slots that only connections without another running request may take. */
const RESERVE_SHARE = 0.25;

/** What happens to a request that has been read whole. */
export const SlotDecision = {
  /** It runs. */
  Run: 'run',
  /** It waits behind the requests of its own connection. */
  Wait: 'wait',
  /** It is refused, as it would wait for the requests of other callers. */
  Refuse: 'refuse',
} as const;

export type SlotDecision = (typeof SlotDecision)[keyof typeof SlotDecision];

/** A request that has been read whole and has not run. */
export abstract class WaitingRequest {
  abstract readonly account: CallerAccount;

  /** Lets the request run. Its slot must be released once. */
  abstract run(): void;

  /** Refuses the request, which never runs. */
  abstract refuse(): void;
}

/**
 * Decides which requests run at once, each of which may need a connection to an endpoint. Designed for callers
 * that pipeline any number of requests: their connections share three quarters of the slots, while the first request
 * of a connection may take any.
 */
export class RequestSlots {
  private readonly limit: number;

  /** Requests that wait, in order, of each connection. The connections take turns. */
  private readonly waiting = new Map<CallerAccount, WaitingRequest[]>();

  private readonly runningByAccount = new Map<CallerAccount, number>();

  private taken = 0;

  constructor(limit: number) {
    this.limit = limit;
  }

  /** Requests that run. */
  get running(): number {
    return this.taken;
  }

  /** Runs a request, refuses it, or lets it wait. */
  enter(request: WaitingRequest): void {
    const queue = this.waiting.get(request.account);
    if (queue !== undefined) {
      queue.push(request);
      return;
    }
    switch (this.decide(request.account)) {
      case SlotDecision.Run:
        this.take(request);
        break;
      case SlotDecision.Wait:
        this.waiting.set(request.account, [request]);
        break;
      default:
        request.refuse();
    }
  }

  /** Releases the slot of a request that has run. */
  release(account: CallerAccount): void {
    this.taken -= 1;
    const running = (this.runningByAccount.get(account) ?? 1) - 1;
    if (running === 0) {
      this.runningByAccount.delete(account);
    } else {
      this.runningByAccount.set(account, running);
    }
    for (const waiting of [...this.waiting.keys()]) {
      this.serve(waiting);
      if (this.taken >= this.limit) {
        return;
      }
    }
  }

  /** Drops the waiting requests of a connection that has closed. */
  forget(account: CallerAccount): void {
    this.waiting.delete(account);
  }

  private decide(account: CallerAccount): SlotDecision {
    if (!this.runningByAccount.has(account)) {
      return this.taken < this.limit ? SlotDecision.Run : SlotDecision.Refuse;
    }
    return this.taken < Math.floor(this.limit * (1 - RESERVE_SHARE))
      ? SlotDecision.Run
      : SlotDecision.Wait;
  }

  private take(request: WaitingRequest): void {
    const { account } = request;
    this.taken += 1;
    this.runningByAccount.set(account, (this.runningByAccount.get(account) ?? 0) + 1);
    request.run();
  }

  /** Runs or refuses the first waiting request of a connection, if it need not wait any longer. */
  private serve(account: CallerAccount): void {
    const queue = this.waiting.get(account);
    const decision = this.decide(account);
    if (queue === undefined || decision === SlotDecision.Wait) {
      return;
    }
    // The connection takes its next turn after the others.
    this.waiting.delete(account);
    const [request, ...others] = queue;
    if (others.length > 0) {
      this.waiting.set(account, others);
    }
    if (decision === SlotDecision.Run) {
      this.take(request as WaitingRequest);
    } else {
      request?.refuse();
    }
  }
}
