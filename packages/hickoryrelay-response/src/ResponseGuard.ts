import { SOCKET_READ_BYTES } from './ResponseLimits.js';
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

  /** What responses held when they were resumed, until they have read. */
  private readonly resumed = new Map<ResponseAccount, number>();

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
      this.resumed.delete(account);
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
      this.scheduleWake();
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
    this.resumed.clear();
    if (this.waiting.size > 0) {
      [...this.memory.overdue(now)].forEach((account) => this.end(account));
    }
    this.evictIfOverfull();
    this.scheduleWake();
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

  /**
   * Lets responses go on, first those that hold least, as far as there is memory or a turn for them. More
   * would find no memory, at a cost that grows with the square of their number.
   */
  private wake(): void {
    const now = this.clock.monotonicMilliseconds();
    let roomBytes = this.memory.roomBytes - this.resumedBytes();
    while (roomBytes > 0 || this.memory.hasFreeTurn) {
      const account = this.leastWaiting();
      const response = account && this.responses.get(account);
      if (account === undefined || response === undefined) {
        return;
      }
      if (roomBytes > 0 && this.memory.mayRead(account)) {
        roomBytes -= SOCKET_READ_BYTES;
        this.resumed.set(account, account.heldBytes);
      } else if (!this.memory.tryBeginTurn(account, now)) {
        return;
      }
      this.waiting.delete(response);
      response.resume();
    }
  }

  /** What resumed responses are about to read. */
  private resumedBytes(): number {
    for (const [account, heldBytes] of this.resumed) {
      if (account.heldBytes !== heldBytes) {
        this.resumed.delete(account);
      }
    }
    return this.resumed.size * SOCKET_READ_BYTES;
  }

  private leastWaiting(): ResponseAccount | undefined {
    let least: ResponseAccount | undefined;
    for (const response of this.waiting) {
      const account = this.accounts.get(response);
      if (
        account !== undefined &&
        account.heldBytes < (least?.heldBytes ?? Number.POSITIVE_INFINITY)
      ) {
        least = account;
      }
    }
    return least;
  }
}
