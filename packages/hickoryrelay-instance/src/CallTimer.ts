import { CallOutcome, CallTime } from './CallMetrics.js';
import type { CallSeries } from './CallMetrics.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { Failure } from 'hickoryrelay/Failure';
import type { Call } from 'hickoryrelay-link/Call';

const MINIMUM_ERROR_STATUS = 400;

/** Records the times of one call as its response is written. */
export class CallTimer {
  private readonly clock: Clock;

  private readonly series: CallSeries;

  private readonly arrivalMilliseconds: number;

  private lastChunkMilliseconds: number | undefined;

  private status = 0;

  private finalOutcome: CallOutcome | undefined;

  constructor(call: Call, series: CallSeries, clock: Clock) {
    this.arrivalMilliseconds = call.arrivalMilliseconds;
    this.series = series;
    this.clock = clock;
  }

  /** How the call ended, or undefined while it runs. */
  get outcome(): CallOutcome | undefined {
    return this.finalOutcome;
  }

  begin(status: number): void {
    this.status = status;
  }

  recordChunk(): void {
    const now = this.clock.monotonicMilliseconds();
    if (this.lastChunkMilliseconds === undefined) {
      this.series.record(CallTime.FirstToken, now - this.arrivalMilliseconds);
    } else {
      this.series.record(CallTime.BetweenTokens, now - this.lastChunkMilliseconds);
    }
    this.lastChunkMilliseconds = now;
  }

  end(): void {
    const elapsed = this.clock.monotonicMilliseconds() - this.arrivalMilliseconds;
    this.series.record(CallTime.Completion, elapsed);
    this.finish(
      this.status >= MINIMUM_ERROR_STATUS ? CallOutcome.EndpointError : CallOutcome.Answered,
    );
  }

  fail(failure: Failure, notRun: boolean): void {
    if (failure.kind === 'cancelled') {
      this.finish(CallOutcome.Cancelled);
    } else {
      this.finish(notRun ? CallOutcome.Refused : CallOutcome.Failed);
    }
  }

  private finish(outcome: CallOutcome): void {
    if (this.finalOutcome === undefined) {
      this.finalOutcome = outcome;
      this.series.count(outcome);
    }
  }
}
