import { ResponseMemory } from './ResponseMemory.js';

import type { ResponseAccount, ResponsePart } from './ResponseAccount.js';
import type { ResponseLimits } from './ResponseLimits.js';
import type { Clock } from 'hickoryrelay/Clock';

/** Time between two checks of progress. Timers of each response would cost more. */
const CHECK_MILLISECONDS = 500;

/** The source of a response, such as a connection to an endpoint. */
export abstract class GuardedResponse {
  /** Updates what has been received and not processed. */
  abstract countReceived(): void;

  /** Processes the bytes that wait. Called after `mayRead` was false. */
  abstract resume(): void;

  /** Ends the response, as if its endpoint had broken it off. Its account must be closed at once. */
  abstract evict(): void;
}

/**
 * Bounds what a process holds for the responses of its endpoints. While there is too little memory, bytes stay in
 * the buffers of sockets, and a few responses at a time are read on, which complete, or fail if they do not in time.
 */
export class ResponseGuard {
  private readonly clock: Clock;

  private readonly memory: ResponseMemory;

  private readonly responses = new Map<ResponseAccount, GuardedResponse>();

  private readonly accounts = new Map<GuardedResponse, ResponseAccount>();

  /** Responses whose bytes wait for memory. */
  private readonly waiting = new Set<GuardedResponse>();

  private isWakeScheduled = false;

  private isCheckScheduled = false;

  private isEvicting = false;

  private pauseCount = 0;

  private evictionCount = 0;

  constructor(limits: ResponseLimits, clock: Clock) {
    this.clock = clock;
    this.memory = new ResponseMemory(limits, () => this.scheduleWake());
  }

  get limits(): ResponseLimits {
    return this.memory.limits;
  }

  get openResponses(): number {
    return this.memory.openResponses;
  }

  /** What is held in one place for all responses. */
  heldBytesIn(part: ResponsePart): number {
    return this.memory.usedIn(part);
  }

  /** How often the bytes of a response had to wait for memory. */
  get pauses(): number {
    return this.pauseCount;
  }

  /** Responses that were ended because too much was held. */
  get evictions(): number {
    return this.evictionCount;
  }

  /** Records that a response is waited for. The account of an earlier one must have been closed. */
  open(response: GuardedResponse): ResponseAccount {
    const account = this.memory.open(this.clock.monotonicMilliseconds());
    this.responses.set(account, response);
    this.accounts.set(response, account);
    this.scheduleCheck();
    return account;
  }

  /** Releases what a response holds. Further calls have no effect. */
  close(response: GuardedResponse): void {
    const account = this.accounts.get(response);
    if (account !== undefined) {
      this.accounts.delete(response);
      this.responses.delete(account);
      this.waiting.delete(response);
      account.close();
    }
  }

  /** True if received bytes may be processed. Otherwise `resume` is called later. */
  mayRead(response: GuardedResponse): boolean {
    const account = this.accounts.get(response);
    if (account === undefined) {
      return true;
    }
    response.countReceived();
    if (this.memory.hasExceededTurn(account)) {
      this.end(account);
      return false;
    }
    this.evictIfOverfull();
    if (this.memory.mayRead(account)) {
      this.waiting.delete(response);
      return true;
    }
    if (this.accounts.has(response) && !this.waiting.has(response)) {
      this.waiting.add(response);
      this.pauseCount += 1;
      this.scheduleWake();
    }
    return false;
  }

  /** Counts what has arrived, and ends responses that others wait for in vain. */
  check(): void {
    const now = this.clock.monotonicMilliseconds();
    [...this.responses.values()].forEach((response) => response.countReceived());
    if (this.waiting.size > 0) {
      [...this.memory.overdue(now)].forEach((account) => this.end(account));
    }
    this.evictIfOverfull();
  }

  private scheduleCheck(): void {
    if (!this.isCheckScheduled && this.responses.size > 0) {
      this.isCheckScheduled = true;
      this.clock.schedule(CHECK_MILLISECONDS, () => {
        this.isCheckScheduled = false;
        this.check();
        this.scheduleCheck();
      });
    }
  }

  private evictIfOverfull(): void {
    if (!this.memory.isOverfull || this.isEvicting) {
      return;
    }
    this.isEvicting = true;
    for (const account of this.memory.victims(this.clock.monotonicMilliseconds())) {
      if (!this.memory.isOverfull) {
        break;
      }
      this.end(account);
    }
    this.isEvicting = false;
  }

  private end(account: ResponseAccount): void {
    const response = this.responses.get(account);
    if (response !== undefined) {
      this.evictionCount += 1;
      response.evict();
      this.close(response);
    }
  }

  /** Lets waiting responses go on once what was released in this turn of the event loop is known. */
  private scheduleWake(): void {
    if (!this.isWakeScheduled && this.waiting.size > 0) {
      this.isWakeScheduled = true;
      setImmediate(() => {
        this.isWakeScheduled = false;
        this.wake();
      });
    }
  }

  /** Lets responses go on, first those that hold least, as far as there is memory or a turn for them. */
  private wake(): void {
    const now = this.clock.monotonicMilliseconds();
    const waiting = [...this.waiting].flatMap((response) => {
      const account = this.accounts.get(response);
      return account === undefined ? [] : [{ response, account }];
    });
    waiting.sort((left, right) => left.account.heldBytes - right.account.heldBytes);
    for (const { response, account } of waiting) {
      if (!this.memory.mayRead(account) && !this.memory.tryBeginTurn(account, now)) {
        return;
      }
      this.waiting.delete(response);
      response.resume();
    }
  }
}
