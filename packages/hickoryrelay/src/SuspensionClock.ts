import { Clock } from './Clock.js';

/** Differences between the two clocks below this are drift and rounding, in milliseconds. */
const SUSPENSION_THRESHOLD_MILLISECONDS = 200;

/**
 * A clock for leases and confirmations on machines that may be suspended. The runtime's steady
 * clock stops during a suspension while the time of day goes on, so a jump of the time of day
 * ahead of the steady clock counts as time that has passed. A step of the time of day forward looks
 * the same and ends leases early, which is the safe side; a step back changes nothing.
 */
export class SuspensionClock extends Clock {
  private readonly base: Clock;

  private offsetMilliseconds: number;

  private suspendedMilliseconds = 0;

  constructor(base: Clock) {
    super();
    this.base = base;
    this.offsetMilliseconds = base.wallMilliseconds() - base.monotonicMilliseconds();
  }

  override monotonicMilliseconds(): number {
    const steady = this.base.monotonicMilliseconds();
    const offset = this.base.wallMilliseconds() - steady;
    const jump = offset - this.offsetMilliseconds;
    if (jump > SUSPENSION_THRESHOLD_MILLISECONDS) {
      this.suspendedMilliseconds += jump;
      this.offsetMilliseconds = offset;
    } else if (jump < -SUSPENSION_THRESHOLD_MILLISECONDS) {
      this.offsetMilliseconds = offset;
    }
    return steady + this.suspendedMilliseconds;
  }

  override wallMilliseconds(): number {
    return this.base.wallMilliseconds();
  }

  override schedule(milliseconds: number, action: () => void): () => void {
    return this.base.schedule(milliseconds, action);
  }
}
