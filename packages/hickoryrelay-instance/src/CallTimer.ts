import { CallOutcome, CallTime } from './CallMetrics.js';
import type { CallSeries } from './CallMetrics.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { Failure } from 'hickoryrelay/Failure';
import type { Call } from 'hickoryrelay-link/Call';

const FIRST_ERROR_STATUS = 400;

/** Takes the times of one call where its answer is written. */
export class CallTimer {
  private readonly clock: Clock;

  private readonly series: CallSeries;

  private readonly arrivalMilliseconds: number;

  private lastPieceMilliseconds: number | undefined;

  private status = 0;

  private ended: CallOutcome | undefined;

  constructor(call: Call, series: CallSeries, clock: Clock) {
    this.arrivalMilliseconds = call.arrivalMilliseconds;
    this.series = series;
    this.clock = clock;
  }

  /** How the call ended; undefined while it runs. */
  get outcome(): CallOutcome | undefined {
    return this.ended;
  }

  begin(status: number): void {
    this.status = status;
  }

  piece(): void {
    const now = this.clock.monotonicMilliseconds();
    if (this.lastPieceMilliseconds === undefined) {
      this.series.record(CallTime.FirstToken, now - this.arrivalMilliseconds);
    } else {
      this.series.record(CallTime.BetweenTokens, now - this.lastPieceMilliseconds);
    }
    this.lastPieceMilliseconds = now;
  }

  end(): void {
    const elapsed = this.clock.monotonicMilliseconds() - this.arrivalMilliseconds;
    this.series.record(CallTime.Completion, elapsed);
    this.finish(
      this.status >= FIRST_ERROR_STATUS ? CallOutcome.EndpointError : CallOutcome.Answered,
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
    if (this.ended === undefined) {
      this.ended = outcome;
      this.series.count(outcome);
    }
  }
}
