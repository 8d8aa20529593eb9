import { describe, expect, it } from 'vitest';
import { EventStreamAllowance } from 'hickoryrelay/EventStreamAllowance';
import { ManualClock } from 'hickoryrelay/ManualClock';

describe('EventStreamAllowance', () => {
  // Guards against limits that cut sound streams.
  it('accepts an event a millisecond for a minute', async () => {
    const clock = new ManualClock();
    const allowance = new EventStreamAllowance(clock);
    for (let count = 0; count < 60_000; count += 1) {
      expect(allowance.tryTake(1, 300)).toBe(true);
      if (count % 10 === 9) {
        await clock.advance(10);
      }
    }
  });

  it('accepts at once what an engine has sent while its caller was slow', async () => {
    const clock = new ManualClock();
    const allowance = new EventStreamAllowance(clock);
    await clock.advance(20_000);
    expect(allowance.tryTake(20_000, 6_000_000)).toBe(true);
  });

  // Guards against streams that take processor time until their deadline.
  it.each([
    ['events', 4096, 65_536],
    ['bytes', 0, 65_536],
  ])('ends a stream of %s without end', (_name, events, bytes) => {
    const allowance = new EventStreamAllowance(new ManualClock());
    let chunks = 0;
    while (allowance.tryTake(events, bytes)) {
      chunks += 1;
      expect(chunks).toBeLessThan(1000);
    }
  });
});
