import type { ForwardingMetrics } from './ForwardingMetrics.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';

/** A shortage has ended when no request had to wait or was refused for this long. */
const QUIET_MILLISECONDS = 2000;

/** Why a request was refused for lack of room. */
export const RefusalReason = {
  /** No room was expected in time, so the request did not wait. */
  NotExpected: 'no-room-expected',
  /** Room that was expected did not become free in time. */
  WaitEnded: 'wait-ended',
  /** The queue gave the request up for others. */
  Displaced: 'displaced',
} as const;

export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** A time in which a service had less room than requests. */
interface Shortage {
  readonly startMilliseconds: number;
  lastMilliseconds: number;
  waits: number;
  refusals: number;
}

function increment(counts: Map<string, number>, labels: string): void {
  counts.set(labels, (counts.get(labels) ?? 0) + 1);
}

/** Counts what happens to requests for lack of room, and logs when a shortage starts and ends. */
export class ServiceShortages {
  private readonly clock: Clock;

  private readonly log: ComponentLogger;

  private readonly current = new Map<string, Shortage>();

  private readonly waiting = new Map<string, number>();

  private readonly admitted = new Map<string, number>();

  private readonly refused = new Map<string, number>();

  private readonly rejections = new Map<string, number>();

  constructor(clock: Clock, metrics: ForwardingMetrics, log: ComponentLogger) {
    this.clock = clock;
    this.log = log;
    metrics.registerSeries('admission_waiting', 'gauge', () => this.waiting);
    metrics.registerSeries('admission_admitted_after_wait_total', 'counter', () => this.admitted);
    metrics.registerSeries('admission_refused_total', 'counter', () => this.refused);
    metrics.registerSeries('endpoint_rejections_total', 'counter', () => this.rejections);
  }

  /** Records that a request begins to wait. Returns the function that records the end of its wait. */
  beginWait(service: string): () => void {
    const labels = `service="${service}"`;
    this.touch(service).waits += 1;
    increment(this.waiting, labels);
    return () => this.waiting.set(labels, (this.waiting.get(labels) ?? 0) - 1);
  }

  recordAdmitted(service: string): void {
    increment(this.admitted, `service="${service}"`);
  }

  recordRefused(service: string, reason: RefusalReason, priority: number): void {
    this.touch(service).refusals += 1;
    increment(this.refused, `service="${service}",reason="${reason}",priority="${priority}"`);
  }

  recordRejection(service: string): void {
    increment(this.rejections, `service="${service}"`);
  }

  /** Returns the current shortage of a service, which starts if there is none. */
  private touch(service: string): Shortage {
    const now = this.clock.monotonicMilliseconds();
    let shortage = this.current.get(service);
    if (shortage === undefined) {
      shortage = { startMilliseconds: now, lastMilliseconds: now, waits: 0, refusals: 0 };
      this.current.set(service, shortage);
      this.log.warn('A service has no room for more requests.', { service });
      this.scheduleEnd(service, shortage, QUIET_MILLISECONDS);
    }
    shortage.lastMilliseconds = now;
    return shortage;
  }

  private scheduleEnd(service: string, shortage: Shortage, milliseconds: number): void {
    this.clock.schedule(milliseconds, () => {
      const { startMilliseconds, lastMilliseconds, waits, refusals } = shortage;
      const quiet = this.clock.monotonicMilliseconds() - lastMilliseconds;
      if (quiet < QUIET_MILLISECONDS) {
        // A remainder below the resolution of the clock would be scheduled without end.
        this.scheduleEnd(service, shortage, Math.ceil(QUIET_MILLISECONDS - quiet));
        return;
      }
      this.current.delete(service);
      this.log.info('A service has room for all requests again.', {
        service,
        milliseconds: Math.round(lastMilliseconds - startMilliseconds),
        waits,
        refusals,
      });
    });
  }
}
