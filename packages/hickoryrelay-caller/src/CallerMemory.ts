import { CallerAccount, CallerPhase } from './CallerAccount.js';
import { CONNECTION_COST_BYTES, ORDINARY_CONNECTION_BYTES } from './CallerLimits.js';

import type { CallerLimits } from './CallerLimits.js';

/** Why no more bytes of a connection are read for now. */
export const PauseReason = {
  /** Its pipelined requests wait for their responses. */
  PipelinedRequests: 'pipelined-requests',
  /** It holds as much memory as one connection may. */
  ConnectionMemory: 'connection-memory',
  /** All connections together hold as much memory as they may. */
  Memory: 'memory',
} as const;

export type PauseReason = (typeof PauseReason)[keyof typeof PauseReason];

/** Share of the connections from which on those with pipelined requests retire for others. */
const RETIRING_SHARE = 0.875;

/** Memory beyond which connections are closed at once, as a share of the limit. */
const OVERFULL_SHARE = 1.1;

/** Bytes of one connection up to which it may receive more than is parsed. */
const RECEIVE_AHEAD_BYTES = 131_072;

/** Share of the memory up to which connections may receive more than is parsed. */
const RECEIVE_AHEAD_SHARE = 0.5;

/** After an eviction there is room for several waiting connections, so that not each needs one. */
const EVICTION_TARGET_SHARE = 0.875;

/** Time without progress after which a connection may be evicted while others wait. */
const EVICTION_STALL_MILLISECONDS = 1000;

/**
 * Time that connections wait before bodies that still make progress are evicted, and before small ones that wait
 * themselves are.
 */
const MAXIMUM_WAIT_MILLISECONDS = 3000;

/**
 * Decides what the connections of callers may hold. Designed for callers that no operator controls:
 * many of them at once use the memory for callers without the reserve, and are evicted by lack of progress;
 * ordinary callers hold less than `ORDINARY_CONNECTION_BYTES` each and use the reserve as well.
 */
export class CallerMemory {
  readonly limits: CallerLimits;

  private readonly accounts = new Set<CallerAccount>();

  private readonly retiring = new Set<CallerAccount>();

  private used = 0;

  private requestCount = 0;

  private readonly onRelease: () => void;

  /** `onRelease` is called when something has been released. */
  constructor(limits: CallerLimits, onRelease: () => void = () => {}) {
    this.limits = limits;
    this.onRelease = onRelease;
  }

  get usedBytes(): number {
    return this.used;
  }

  get openRequests(): number {
    return this.requestCount;
  }

  get connections(): number {
    return this.accounts.size;
  }

  /** Records a connection. The caller has made room for it by `victimForConnection`. */
  open(now: number): CallerAccount {
    const account = new CallerAccount(this, now, CONNECTION_COST_BYTES);
    this.accounts.add(account);
    return account;
  }

  /** True if another connection exceeds their number. */
  get hasAllConnections(): boolean {
    return this.accounts.size >= this.limits.connections;
  }

  /** True if so much more is held than may be that connections must be closed at once. */
  get isOverfull(): boolean {
    return this.used > this.limits.memoryBytes * OVERFULL_SHARE;
  }

  /** Why the next bytes of a connection must not be read; undefined if they may. */
  pauseReasonFor(account: CallerAccount, bytes: number): PauseReason | undefined {
    const { limits } = this;
    const isReading = account.readingSinceMilliseconds !== undefined;
    if (!isReading && account.openRequests >= limits.pipelinedRequests) {
      return PauseReason.PipelinedRequests;
    }
    const heldBytes = account.heldBytes + bytes;
    if (heldBytes > limits.connectionBytes) {
      return PauseReason.ConnectionMemory;
    }
    return this.used + bytes > this.memoryLimitFor(heldBytes) ? PauseReason.Memory : undefined;
  }

  /** True if a connection may receive more, of which so many bytes are not parsed yet. */
  mayReceiveAhead(bufferedBytes: number): boolean {
    return (
      bufferedBytes < RECEIVE_AHEAD_BYTES &&
      this.used < this.limits.memoryBytes * RECEIVE_AHEAD_SHARE
    );
  }

  /**
   * Connections to evict, in this order, until `hasRoom`. `waitingMilliseconds` is the longest time that a
   * connection has waited for memory.
   */
  *victims(now: number, waitingMilliseconds: number): Generator<CallerAccount, void, void> {
    const evictable = [...this.accounts]
      .filter(({ phase }) => phase !== CallerPhase.Handling)
      .sort((left, right) => left.progressMilliseconds - right.progressMilliseconds);
    for (const account of evictable) {
      const isStalled = CallerMemory.isStalled(account, now);
      if (account.heldBytes > CONNECTION_COST_BYTES && (isStalled || this.isOverfull)) {
        yield account;
      }
    }
    if (waitingMilliseconds >= MAXIMUM_WAIT_MILLISECONDS) {
      yield* evictable
        .filter(({ readingSinceMilliseconds }) => readingSinceMilliseconds !== undefined)
        .sort(
          (left, right) =>
            (left.readingSinceMilliseconds ?? now) - (right.readingSinceMilliseconds ?? now),
        );
    }
  }

  /**
   * True if there is room for several connections, of which the largest waiting one holds the given memory, once
   * `leavingBytes` have been released.
   */
  hasRoom(heldBytes: number, leavingBytes: number): boolean {
    return this.used - leavingBytes <= this.memoryLimitFor(heldBytes) * EVICTION_TARGET_SHARE;
  }

  /** A small connection that may not be read makes no progress through no fault of its caller. */
  private static isStalled(account: CallerAccount, now: number): boolean {
    const { isWaitingForMemory, heldBytes, progressMilliseconds } = account;
    const isHeldUp = isWaitingForMemory && heldBytes <= ORDINARY_CONNECTION_BYTES;
    const limit = isHeldUp ? MAXIMUM_WAIT_MILLISECONDS : EVICTION_STALL_MILLISECONDS;
    return now - progressMilliseconds >= limit;
  }

  private static leastOf(
    accounts: readonly CallerAccount[],
    rankOf: (account: CallerAccount) => number,
  ): CallerAccount | undefined {
    return accounts.reduce<CallerAccount | undefined>(
      (least, account) =>
        least === undefined || rankOf(account) < rankOf(least) ? account : least,
      undefined,
    );
  }

  /**
   * The connection to close so that another one can be opened; undefined if none may be closed. First those without
   * progress, then those with the most pipelined requests, then others on which nothing has been passed on.
   * `mayClose` tells whether a connection with pipelined requests may be closed.
   */
  victimForConnection(
    now: number,
    mayClose: (account: CallerAccount) => boolean,
  ): CallerAccount | undefined {
    const accounts = [...this.accounts];
    const closeable = accounts.filter((account) => CallerMemory.hasPassedOnNothing(account));
    const unread = accounts.filter(({ phase }) => phase === CallerPhase.Writing);
    const isStalled = (account: CallerAccount) => CallerMemory.isStalled(account, now);
    const idle = closeable.filter(({ openRequests }) => openRequests === 0);
    return (
      CallerMemory.longestWithoutProgress(idle.filter(isStalled)) ??
      CallerMemory.longestWithoutProgress(closeable.filter(isStalled)) ??
      CallerMemory.longestWithoutProgress(unread.filter(isStalled)) ??
      CallerMemory.mostPipelined(accounts.filter(mayClose)) ??
      CallerMemory.longestWithoutProgress(closeable)
    );
  }

  /**
   * Chooses the connection with the most pipelined requests, if nearly all connections are open, so that it
   * closes after a response. Undefined if there is none.
   */
  retire(): CallerAccount | undefined {
    if (this.accounts.size < this.limits.connections * RETIRING_SHARE) {
      return undefined;
    }
    const candidates = [...this.accounts].filter((account) => !this.retiring.has(account));
    const account = CallerMemory.mostPipelined(candidates);
    if (account !== undefined) {
      this.retiring.add(account);
    }
    return account;
  }

  /** Connections that close after a response. */
  get retired(): ReadonlySet<CallerAccount> {
    return this.retiring;
  }

  /** True if at most a request that is being read would be lost. */
  private static hasPassedOnNothing({ phase, openRequests }: CallerAccount): boolean {
    return openRequests === 0 || (phase === CallerPhase.Reading && openRequests === 1);
  }

  private static longestWithoutProgress(
    accounts: readonly CallerAccount[],
  ): CallerAccount | undefined {
    return CallerMemory.leastOf(accounts, ({ progressMilliseconds }) => progressMilliseconds);
  }

  private static mostPipelined(accounts: readonly CallerAccount[]): CallerAccount | undefined {
    return CallerMemory.leastOf(
      accounts.filter(({ openRequests }) => openRequests > 1),
      ({ openRequests }) => -openRequests,
    );
  }

  /** Adds to the sum. Called by accounts. */
  addBytes(bytes: number): void {
    this.used += bytes;
    if (bytes < 0) {
      this.onRelease();
    }
  }

  /** Adds to the number of open requests. Called by accounts. */
  addRequests(count: number): void {
    this.requestCount += count;
    if (count < 0) {
      this.onRelease();
    }
  }

  /** Forgets a connection. Called by accounts. */
  remove(account: CallerAccount): void {
    this.accounts.delete(account);
    this.retiring.delete(account);
    this.onRelease();
  }

  private memoryLimitFor(heldBytes: number): number {
    const { memoryBytes, reserveBytes } = this.limits;
    return heldBytes <= ORDINARY_CONNECTION_BYTES ? memoryBytes : memoryBytes - reserveBytes;
  }
}
