import { ResponseMemory } from './ResponseMemory.js';

import type { ResponseAccount, ResponsePart } from './ResponseAccount.js';
import type { Clock } from 'hickoryrelay/Clock';

/** Time between two counts of what has arrived. */
const CHECK_MILLISECONDS = 500;

/** The source of a response, such as a connection to an endpoint. */
export abstract class GuardedResponse {
  /** Updates what has been received and not processed. */
  abstract countReceived(): void;
}

/** Counts what a process holds for the responses of its endpoints. */
export class ResponseGuard {
  private readonly clock: Clock;

  private readonly memory = new ResponseMemory();

  private readonly accounts = new Map<GuardedResponse, ResponseAccount>();

  private isCheckScheduled = false;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  get openResponses(): number {
    return this.memory.openResponses;
  }

  /** What is held in one place for all responses. */
  heldBytesIn(part: ResponsePart): number {
    return this.memory.usedIn(part);
  }

  /** Records that a response is waited for. The account of an earlier one must have been closed. */
  open(response: GuardedResponse): ResponseAccount {
    const account = this.memory.open(this.clock.monotonicMilliseconds());
    this.accounts.set(response, account);
    this.scheduleCheck();
    return account;
  }

  /** Releases what a response holds. Further calls have no effect. */
  close(response: GuardedResponse): void {
    this.accounts.get(response)?.close();
    this.accounts.delete(response);
  }

  private scheduleCheck(): void {
    if (!this.isCheckScheduled && this.accounts.size > 0) {
      this.isCheckScheduled = true;
      this.clock.schedule(CHECK_MILLISECONDS, () => {
        this.isCheckScheduled = false;
        [...this.accounts.keys()].forEach((response) => response.countReceived());
        this.scheduleCheck();
      });
    }
  }
}
