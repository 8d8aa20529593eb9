import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { ProgressDeadline } from 'hickoryrelay-instance/ProgressDeadline';

const LIMITS = { firstMilliseconds: 100, nextMilliseconds: 50, condemnedMilliseconds: 10 };

describe('the progress deadline', () => {
  const follow = (isCondemned: boolean) => {
    const clock = new ManualClock();
    const silences: number[] = [];
    const deadline = new ProgressDeadline(
      clock,
      LIMITS,
      () => isCondemned,
      (silentMilliseconds) => silences.push(silentMilliseconds),
    );
    return { clock, silences, deadline };
  };

  it('gives the first piece more time than the next ones, and a condemned connection less', async () => {
    const healthy = follow(false);
    await healthy.clock.advance(95);
    healthy.deadline.resume();
    await healthy.clock.advance(45);
    expect(healthy.silences).toEqual([]);
    await healthy.clock.advance(20);
    expect(healthy.silences).toHaveLength(1);

    const condemned = follow(true);
    await condemned.clock.advance(95);
    expect(condemned.silences).toEqual([]);
    condemned.deadline.resume();
    await condemned.clock.advance(20);
    expect(condemned.silences).toHaveLength(1);
  });

  it('is quiet while the caller is waited for and after it was stopped', async () => {
    const { clock, silences, deadline } = follow(false);
    deadline.pause();
    await clock.advance(1000);
    deadline.resume();
    await clock.advance(40);
    deadline.stop();
    await clock.advance(1000);
    expect(silences).toEqual([]);
  });
});
