import fastCheck from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Clock } from 'hickoryrelay/Clock';
import { SuspensionClock } from 'hickoryrelay/SuspensionClock';

/** A machine's two clocks, moved by hand. */
class MachineClocks extends Clock {
  steady = 0;

  wall = 1_700_000_000_000;

  override monotonicMilliseconds(): number {
    return this.steady;
  }

  override wallMilliseconds(): number {
    return this.wall;
  }

  override schedule(): () => void {
    return () => {};
  }

  run(milliseconds: number): void {
    this.steady += milliseconds;
    this.wall += milliseconds;
  }
}

describe('the clock that counts suspensions', () => {
  it('runs with the steady clock while both run', () => {
    const clocks = new MachineClocks();
    const clock = new SuspensionClock(clocks);
    const start = clock.monotonicMilliseconds();
    clocks.run(5000);
    expect(clock.monotonicMilliseconds() - start).toBe(5000);
  });

  // Guards against a lease that a suspended process takes for held when it wakes.
  it('counts a suspension, which only the time of day shows', () => {
    const clocks = new MachineClocks();
    const clock = new SuspensionClock(clocks);
    const start = clock.monotonicMilliseconds();
    clocks.wall += 4000;
    clocks.run(10);
    expect(clock.monotonicMilliseconds() - start).toBe(4010);
  });

  it('is not moved by a step of the time of day back', () => {
    const clocks = new MachineClocks();
    const clock = new SuspensionClock(clocks);
    const start = clock.monotonicMilliseconds();
    clocks.wall -= 3000;
    clocks.run(10);
    expect(clock.monotonicMilliseconds() - start).toBe(10);
  });

  it('never goes back and never runs slower than the steady clock', () => {
    const step = fastCheck.record({
      run: fastCheck.nat(2000),
      jump: fastCheck.integer({ min: -5000, max: 5000 }),
    });
    fastCheck.assert(
      fastCheck.property(fastCheck.array(step), (steps) => {
        const clocks = new MachineClocks();
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
