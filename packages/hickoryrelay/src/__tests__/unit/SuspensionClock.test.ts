import fastCheck from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Clock } from 'hickoryrelay/Clock';
import { SuspensionClock } from 'hickoryrelay/SuspensionClock';

/** The two clocks of a machine, set by the test. */
class AdjustableClock extends Clock {
  monotonic = 0;

  wall = 1_700_000_000_000;

  override monotonicMilliseconds(): number {
    return this.monotonic;
  }

  override wallMilliseconds(): number {
    return this.wall;
  }

  override schedule(): () => void {
    return () => {};
  }

  run(milliseconds: number): void {
    this.monotonic += milliseconds;
    this.wall += milliseconds;
  }
}

describe('SuspensionClock', () => {
  // Guards against drift while the machine is not suspended.
  it('follows the monotonic clock while both clocks run', () => {
    const clocks = new AdjustableClock();
    const clock = new SuspensionClock(clocks);
    const start = clock.monotonicMilliseconds();
    clocks.run(5000);
    expect(clock.monotonicMilliseconds() - start).toBe(5000);
  });

  // Guards against a lease that a process still considers held after a suspension.
  it('counts a suspension, which only the wall clock shows', () => {
    const clocks = new AdjustableClock();
    const clock = new SuspensionClock(clocks);
    const start = clock.monotonicMilliseconds();
    clocks.wall += 4000;
    clocks.run(10);
    expect(clock.monotonicMilliseconds() - start).toBe(4010);
  });

  // Guards against leases that are extended when the wall clock is set back.
  it('ignores a backward step of the wall clock', () => {
    const clocks = new AdjustableClock();
    const clock = new SuspensionClock(clocks);
    const start = clock.monotonicMilliseconds();
    clocks.wall -= 3000;
    clocks.run(10);
    expect(clock.monotonicMilliseconds() - start).toBe(10);
  });

  // Guards against leases that are extended by any sequence of steps of the wall clock.
  it('never goes back and never runs slower than the monotonic clock', () => {
    const step = fastCheck.record({
      run: fastCheck.nat(2000),
      jump: fastCheck.integer({ min: -5000, max: 5000 }),
    });
    fastCheck.assert(
      fastCheck.property(fastCheck.array(step), (steps) => {
        const clocks = new AdjustableClock();
        const clock = new SuspensionClock(clocks);
        let last = clock.monotonicMilliseconds();
        for (const { run, jump } of steps) {
          clocks.wall += jump;
          clocks.run(run);
          const now = clock.monotonicMilliseconds();
          expect(now - last).toBeGreaterThanOrEqual(run);
          last = now;
        }
      }),
    );
  });
});
