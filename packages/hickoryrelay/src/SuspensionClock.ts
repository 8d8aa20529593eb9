import { Clock } from './Clock.js';

/** Smaller differences between the two clocks are due to drift and rounding. */
const SUSPENSION_THRESHOLD_MILLISECONDS = 200;

/**
 * A clock for leases and confirmations on machines that may be suspended. The runtime's monotonic
 * clock stops during a suspension while the wall clock continues, so a jump of the wall clock ahead
 * of the monotonic clock counts as elapsed time. A forward step of the wall clock looks the same
 * and ends leases early, which is safe; a backward step changes nothing.
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
    const baseMilliseconds = this.base.monotonicMilliseconds();
    const newOffsetMilliseconds = this.base.wallMilliseconds() - baseMilliseconds;
    const jumpMilliseconds = newOffsetMilliseconds - this.offsetMilliseconds;
    if (jumpMilliseconds > SUSPENSION_THRESHOLD_MILLISECONDS) {
      this.suspendedMilliseconds += jumpMilliseconds;
      this.offsetMilliseconds = newOffsetMilliseconds;
    } else if (jumpMilliseconds < -SUSPENSION_THRESHOLD_MILLISECONDS) {
      this.offsetMilliseconds = newOffsetMilliseconds;
    }
    return baseMilliseconds + this.suspendedMilliseconds;
  }

  override wallMilliseconds(): number {
    return this.base.wallMilliseconds();
  }

  override schedule(milliseconds: number, action: () => void): () => void {
    return this.base.schedule(milliseconds, action);
  }
}
