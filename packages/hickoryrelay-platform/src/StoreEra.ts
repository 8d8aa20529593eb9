import type { Clock } from 'hickoryrelay/Clock';

/**
 * The era of the key-value service as seen by one client. Each response states an era; a higher one
 * means that the service has been restored from an older copy and has lost what it acknowledged
 * since: writes, leases and the revisions that they were assigned.
 */
export class StoreEra {
  private readonly clock: Clock;

  private readonly restoreObservers = new Set<(era: number) => void>();

  private currentEra: number | undefined;

  private observedMilliseconds = Number.POSITIVE_INFINITY;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** The highest era that a response has stated; undefined before the first response. */
  get current(): number | undefined {
    return this.currentEra;
  }

  /** Time since the first response of the current era, in milliseconds; 0 before any response. */
  get observedForMilliseconds(): number {
    return Math.max(0, this.clock.monotonicMilliseconds() - this.observedMilliseconds);
  }

  /**
   * Records the era of a response. Notifies the observers if it is higher than that of an earlier
   * response. Returns false for a response of an earlier era, which arrived after a newer one.
   */
  observe(era: number): boolean {
    const previous = this.currentEra;
    if (previous !== undefined && era <= previous) {
      return era === previous;
    }
    this.currentEra = era;
    this.observedMilliseconds = this.clock.monotonicMilliseconds();
    if (previous !== undefined) {
      this.restoreObservers.forEach((observer) => observer(era));
    }
    return true;
  }

  /**
   * Calls the observer when a response shows that the service has been restored. Returns the function
   * that removes it.
   */
  onRestore(observer: (era: number) => void): () => void {
    this.restoreObservers.add(observer);
    return () => this.restoreObservers.delete(observer);
  }
}
