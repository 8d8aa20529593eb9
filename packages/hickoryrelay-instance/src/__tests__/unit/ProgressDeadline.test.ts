import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { ProgressDeadline } from 'hickoryrelay-instance/ProgressDeadline';

const TIMEOUTS = {
  firstChunkMilliseconds: 100,
  nextChunkMilliseconds: 50,
  suspectMilliseconds: 10,
};

describe('ProgressDeadline', () => {
  const watch = (isSuspect: boolean) => {
    const clock = new ManualClock();
    const stalls: number[] = [];
    const deadline = new ProgressDeadline(
      clock,
      TIMEOUTS,
      () => isSuspect,
      (stalledMilliseconds) => stalls.push(stalledMilliseconds),
    );
    return { clock, stalls, deadline };
  };

  // Guards against a timeout between chunks that also applies to the longer prefill before the
  // first.
  it('allows more time for the first chunk than for later ones, and less on a suspect connection', async () => {
    const healthy = watch(false);
    await healthy.clock.advance(95);
    healthy.deadline.resume();
    await healthy.clock.advance(45);
    expect(healthy.stalls).toEqual([]);
    await healthy.clock.advance(20);
    expect(healthy.stalls).toHaveLength(1);

    const suspect = watch(true);
    await suspect.clock.advance(95);
    expect(suspect.stalls).toEqual([]);
    suspect.deadline.resume();
    await suspect.clock.advance(20);
    expect(suspect.stalls).toHaveLength(1);
  });

  // Guards against endpoints that are blamed for slow callers, and timers that outlive their
  // attempt.
  it('reports no stall while paused for the caller or after it is stopped', async () => {
    const { clock, stalls, deadline } = watch(false);
    deadline.pause();
    await clock.advance(1000);
    deadline.resume();
    await clock.advance(40);
    deadline.stop();
    await clock.advance(1000);
    expect(stalls).toEqual([]);
  });
});
