import { ResponseAccount, ResponsePart } from './ResponseAccount.js';
import { ORDINARY_RESPONSE_BYTES } from './ResponseLimits.js';

import type { ResponseLimits } from './ResponseLimits.js';

/** Memory beyond which responses fail at once, as a share of the limit. */
const OVERFULL_SHARE = 1.1;

/** After an eviction there is room for several waiting responses, so that not each needs one. */
const EVICTION_TARGET_SHARE = 0.875;

/** Time without progress after which a response may fail while others wait. */
const EVICTION_STALL_MILLISECONDS = 1000;

/** Time without progress after which a response whose caller does not read may fail. */
const DELIVERY_STALL_MILLISECONDS = 3000;

/**
 * Decides what the responses of all endpoints may hold together. Designed for endpoints in trouble, which send
 * bytes that complete nothing on any number of connections: such responses share the memory without the reserve
 * and fail by lack of progress. Other responses hold less than `ORDINARY_RESPONSE_BYTES` each, or are delivered
 * as they arrive.
 */
export class ResponseMemory {
  readonly limits: ResponseLimits;

  private readonly accounts = new Set<ResponseAccount>();

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
  mayRead({ heldBytes }: ResponseAccount): boolean {
    return this.usedBytes <= this.limitFor(heldBytes);
  }

  /** True if so much more is held than may be that responses must fail at once. */
  get isOverfull(): boolean {
    return this.usedBytes > this.limits.memoryBytes * OVERFULL_SHARE;
  }

  /** True if there is room for several responses. */
  get hasRoom(): boolean {
    const { memoryBytes, reserveBytes } = this.limits;
    return this.usedBytes <= (memoryBytes - reserveBytes) * EVICTION_TARGET_SHARE;
  }

  /**
   * Responses to evict, in this order, until `hasRoom`: large ones without progress; if too much is held, also
   * others whose endpoints are waited for, and those whose callers do not read. In each group, first those that
   * have held most for the longest time.
   */
  *victims(now: number): Generator<ResponseAccount, void, void> {
    const stalledMilliseconds = (account: ResponseAccount) => now - account.progressMilliseconds;
    const costOf = (account: ResponseAccount) => account.heldBytes * stalledMilliseconds(account);
    const byCost = [...this.accounts]
      .filter(({ heldBytes }) => heldBytes > 0)
      .sort((left, right) => costOf(right) - costOf(left));
    const isEvictable = (account: ResponseAccount) =>
      !account.isInDelivery &&
      account.heldBytes > ORDINARY_RESPONSE_BYTES &&
      stalledMilliseconds(account) >= EVICTION_STALL_MILLISECONDS;
    yield* byCost.filter(isEvictable);
    if (this.isOverfull) {
      yield* byCost.filter((account) => !account.isInDelivery && !isEvictable(account));
      yield* byCost.filter(
        (account) =>
          account.isInDelivery && stalledMilliseconds(account) >= DELIVERY_STALL_MILLISECONDS,
      );
    }
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
  }

  private limitFor(heldBytes: number): number {
    const { memoryBytes, reserveBytes } = this.limits;
    return heldBytes <= ORDINARY_RESPONSE_BYTES ? memoryBytes : memoryBytes - reserveBytes;
  }
}
