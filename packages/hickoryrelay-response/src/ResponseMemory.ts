import { ResponseAccount, ResponsePart } from './ResponseAccount.js';
import { ORDINARY_RESPONSE_BYTES, SMALL_RESPONSE_BYTES } from './ResponseLimits.js';

import type { ResponseLimits } from './ResponseLimits.js';

/**
 * Memory beyond which responses fail at once, as a share of the limit. What the sockets of all attempts may have
 * received besides the limit is less.
 */
const OVERFULL_SHARE = 2.5;

/** Most that a response may keep in its turn: an event of 256 KB in a buffer that has doubled. */
const MAXIMUM_TURN_BYTES = 524_288;

/** Time within which a response whose turn it is has to complete an event or deliver a part. */
const TURN_MILLISECONDS = 3000;

/** Time without progress after which a response whose caller does not read may fail. */
const DELIVERY_STALL_MILLISECONDS = 3000;

/**
 * Decides what the responses of all endpoints may hold together. Designed for endpoints in trouble, which send
 * bytes that complete nothing on any number of connections, beside sound responses that together need more than
 * there is: at the limit a few at a time are read on, those first that hold least. A sound one completes then, and one
 * that does not in its time, or holds too much, fails.
 */
export class ResponseMemory {
  readonly limits: ResponseLimits;

  private readonly accounts = new Set<ResponseAccount>();

  /** Responses that are read on at the limit, with the time since when. */
  private readonly turns = new Map<ResponseAccount, number>();

  private readonly used: Record<ResponsePart, number> = {
    [ResponsePart.Received]: 0,
    [ResponsePart.Retained]: 0,
  };

  private readonly onRelease: () => void;

  /** `onRelease` is called when something has been released. */
  constructor(limits: ResponseLimits, onRelease: () => void = () => {}) {
    this.limits = limits;
    this.onRelease = onRelease;
  }

  get usedBytes(): number {
    return this.used[ResponsePart.Received] + this.used[ResponsePart.Retained];
  }

  /** What is held in one place. */
  usedIn(part: ResponsePart): number {
    return this.used[part];
  }

  /** Responses that have been sent for and are not complete. */
  get openResponses(): number {
    return this.accounts.size;
  }

  /** Records that a response is waited for. */
  open(now: number): ResponseAccount {
    const account = new ResponseAccount(this, now);
    this.accounts.add(account);
    return account;
  }

  /** True if bytes that have been received may be processed, after which more are received. */
  mayRead(account: ResponseAccount): boolean {
    const { heldBytes } = account;
    return (
      heldBytes <= SMALL_RESPONSE_BYTES ||
      this.usedBytes <= this.limitFor(heldBytes) ||
      this.turns.has(account)
    );
  }

  /** What may still be held before responses wait. */
  get roomBytes(): number {
    return this.limits.memoryBytes - this.usedBytes;
  }

  /** True if a further response may be read on although the limit is reached. */
  get hasFreeTurn(): boolean {
    return this.turns.size < Math.max(1, Math.floor(this.limits.reserveBytes / MAXIMUM_TURN_BYTES));
  }

  /** Lets a response be read on although the limit is reached. Returns false if too many are. */
  tryBeginTurn(account: ResponseAccount, now: number): boolean {
    if (!this.hasFreeTurn) {
      return false;
    }
    this.turns.set(account, now);
    return true;
  }

  /** True if a response keeps more than it may in its turn. */
  hasExceededTurn(account: ResponseAccount): boolean {
    return this.turns.has(account) && account.retainedBytes > MAXIMUM_TURN_BYTES;
  }

  /** Ends the turn of a response, if it is its turn. Called by accounts. */
  endTurn(account: ResponseAccount): void {
    if (this.turns.delete(account)) {
      this.onRelease();
    }
  }

  /** True if so much more is held than may be that responses must fail at once. */
  get isOverfull(): boolean {
    return this.usedBytes > this.limits.memoryBytes * OVERFULL_SHARE;
  }

  /** Responses that have not used their turn to complete anything. */
  *overdue(now: number): Generator<ResponseAccount, void, void> {
    for (const [account, beganMilliseconds] of [...this.turns]) {
      if (!account.isInDelivery && now - beganMilliseconds >= TURN_MILLISECONDS) {
        yield account;
      }
    }
  }

  /**
   * Responses to end, in this order, while too much is held: those whose endpoints are waited for, and then those
   * whose callers do not read. In each group, first those that have held most for the longest time.
   */
  *victims(now: number): Generator<ResponseAccount, void, void> {
    const stalledMilliseconds = (account: ResponseAccount) => now - account.progressMilliseconds;
    const costOf = (account: ResponseAccount) => account.heldBytes * stalledMilliseconds(account);
    const byCost = [...this.accounts]
      .filter(({ heldBytes }) => heldBytes > 0)
      .sort((left, right) => costOf(right) - costOf(left));
    yield* byCost.filter((account) => !account.isInDelivery);
    yield* byCost.filter(
      (account) =>
        account.isInDelivery && stalledMilliseconds(account) >= DELIVERY_STALL_MILLISECONDS,
    );
  }

  /** Adds to the sum. Called by accounts. */
  addBytes(part: ResponsePart, bytes: number): void {
    this.used[part] += bytes;
    if (bytes < 0) {
      this.onRelease();
    }
  }

  /** Forgets a response. Called by accounts. */
  remove(account: ResponseAccount): void {
    this.accounts.delete(account);
    this.endTurn(account);
  }

  private limitFor(heldBytes: number): number {
    const { memoryBytes, reserveBytes } = this.limits;
    return heldBytes <= ORDINARY_RESPONSE_BYTES ? memoryBytes : memoryBytes - reserveBytes;
  }
}
