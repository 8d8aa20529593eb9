import type { Clock } from 'hickoryrelay/Clock';

/** What a stream may bring at once, as an engine that repeats a finished stream does. */
const BURST = { Events: 5000, Bytes: 16_777_216 } as const;

/** What a stream may bring in each second. An engine generates fewer than 1,000 tokens a second. */
const RATE = { EventsPerSecond: 1500, BytesPerSecond: 16_777_216 } as const;

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Bounds the events and bytes of one stream, for it and for its time. The time also passes while a
 * slow caller is waited for, so that an engine may bring at once what it has produced meanwhile.
 */
export class EventStreamAllowance {
  private readonly clock: Clock;

  private readonly beganMilliseconds: number;

  private events = 0;

  private bytes = 0;

  constructor(clock: Clock) {
    this.clock = clock;
    this.beganMilliseconds = clock.monotonicMilliseconds();
  }

  /** Counts events that arrived together. Returns false if the stream may not bring as many. */
  tryTake(events: number, bytes: number): boolean {
    this.events += events;
    this.bytes += bytes;
    const seconds =
      (this.clock.monotonicMilliseconds() - this.beganMilliseconds) / MILLISECONDS_PER_SECOND;
    return (
      this.events <= BURST.Events + RATE.EventsPerSecond * seconds &&
      this.bytes <= BURST.Bytes + RATE.BytesPerSecond * seconds
    );
  }
}
