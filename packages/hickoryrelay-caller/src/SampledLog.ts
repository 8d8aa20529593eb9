import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger, LogFields } from 'hickoryrelay/Logger';

const INTERVAL_MILLISECONDS = 10_000;

/** Logs the first event of each kind in an interval, with the number of those left out before it. */
export class SampledLog {
  private readonly log: ComponentLogger;

  private readonly clock: Clock;

  private readonly kinds = new Map<string, { nextMilliseconds: number; skipped: number }>();

  constructor(log: ComponentLogger, clock: Clock) {
    this.log = log;
    this.clock = clock;
  }

  warn(kind: string, sentence: string, fields: LogFields): void {
    const now = this.clock.monotonicMilliseconds();
    const entry = this.kinds.get(kind);
    if (entry !== undefined && now < entry.nextMilliseconds) {
      entry.skipped += 1;
      return;
    }
    this.kinds.set(kind, { nextMilliseconds: now + INTERVAL_MILLISECONDS, skipped: 0 });
    this.log.warn(sentence, { ...fields, skipped: entry?.skipped ?? 0 });
  }
}
