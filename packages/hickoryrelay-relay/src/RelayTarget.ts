import type { RelayReceiver } from './RelayLink.js';

/** Hops of this instance that one receiver takes at a time. */
export const MAXIMUM_OPEN_HOPS = 128;

/** Time for which a receiver that could not help is not asked about the service again. */
export const UNABLE_MILLISECONDS = 1000;

/** Time for which a receiver is not asked after its connection failed, as it may be starting again. */
export const FIRST_UNREACHED_MILLISECONDS = 250;

/** The same after several failures, each of which doubles it. */
export const MAXIMUM_UNREACHED_MILLISECONDS = 3000;

function hasSameAddress(left: RelayReceiver, right: RelayReceiver): boolean {
  return left.host === right.host && left.port === right.port;
}

/** An instance that may be asked, with what has come of the requests that it was sent. */
export class RelayTarget {
  private current: RelayReceiver;

  /** True while the instance is registered. */
  isListed = false;

  private hops = 0;

  private unreachedUntilMilliseconds = Number.NEGATIVE_INFINITY;

  /** Time for which it is not asked after the next failure. */
  private unreachedMilliseconds = FIRST_UNREACHED_MILLISECONDS;

  /** By service. */
  private readonly unableUntilMilliseconds = new Map<string, number>();

  constructor(receiver: RelayReceiver) {
    this.current = receiver;
  }

  get receiver(): RelayReceiver {
    return this.current;
  }

  /** A changed address is that of a new process, for which earlier failures do not count. */
  set receiver(receiver: RelayReceiver) {
    if (!hasSameAddress(this.current, receiver)) {
      this.unreachedUntilMilliseconds = Number.NEGATIVE_INFINITY;
      this.unreachedMilliseconds = FIRST_UNREACHED_MILLISECONDS;
      this.unableUntilMilliseconds.clear();
    }
    this.current = receiver;
  }

  get openHops(): number {
    return this.hops;
  }

  /** Counts an open hop. Returns the function that ends it, whose further calls have no effect. */
  begin(): () => void {
    this.hops += 1;
    let isOpen = true;
    return () => {
      if (isOpen) {
        isOpen = false;
        this.hops -= 1;
      }
    };
  }

  recordUnable(service: string, now: number): void {
    this.unableUntilMilliseconds.set(service, now + UNABLE_MILLISECONDS);
  }

  /** Requests that fail together count as one failure. */
  recordUnreached(now: number): void {
    if (now < this.unreachedUntilMilliseconds) {
      return;
    }
    this.unreachedUntilMilliseconds = now + this.unreachedMilliseconds;
    this.unreachedMilliseconds = Math.min(
      this.unreachedMilliseconds * 2,
      MAXIMUM_UNREACHED_MILLISECONDS,
    );
  }

  /** Records that the instance has responded. */
  recordReached(): void {
    this.unreachedMilliseconds = FIRST_UNREACHED_MILLISECONDS;
  }

  /** True if something about the instance must be kept even if it is not registered for a while. */
  mustBeKept(now: number): boolean {
    return (
      this.hops > 0 ||
      now < this.unreachedUntilMilliseconds ||
      [...this.unableUntilMilliseconds.values()].some((until) => now < until)
    );
  }

  /** True if the instance may be asked to serve a request for the service. */
  mayBeAsked(service: string, now: number): boolean {
    return (
      this.isListed &&
      this.hops < MAXIMUM_OPEN_HOPS &&
      now >= this.unreachedUntilMilliseconds &&
      now >= (this.unableUntilMilliseconds.get(service) ?? Number.NEGATIVE_INFINITY)
    );
  }
}
