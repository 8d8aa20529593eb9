import { describe, expect, it } from 'vitest';

import { callOf, createUsageFixture, TOKEN_COUNTS, WINDOW_MILLISECONDS } from './UsageFixture.js';

describe('usage windows whose store is restored from an older copy', () => {
  // Guards against a window that is reported again, with other lines, because the store has forgotten
  // its seal and the mark that it was reported.
  it('reports no window again', async () => {
    const { simulation, first, second } = createUsageFixture();
    await simulation.clock.advance(16_000);
    void second.usage.meter.open(callOf('once'), 'engine-1').close(TOKEN_COUNTS);
    // The window ends 40 s after the start and is sealed 5 s later.
    await simulation.clock.advance(24_000);
    const copy = simulation.table.copy();
    await simulation.clock.advance(16_000);
    const reportedBefore = simulation.submittedReports.map((each) => each.windowStartMilliseconds);
    expect(simulation.submittedReports.at(-1)?.lines.length).toBe(1);
    first.loseAuthority();
    simulation.table.restore(copy);
    simulation.grantAuthority('zone-a', second);
    await simulation.clock.advance(2 * WINDOW_MILLISECONDS);
    const reported = simulation.submittedReports.map((each) => each.windowStartMilliseconds);
    expect(reported.length).toBeGreaterThan(reportedBefore.length);
    expect(new Set(reported).size).toBe(reported.length);
    const calls = simulation.submittedReports.flatMap(({ lines }) => lines);
    expect(calls.map((line) => [line.account, line.calls])).toEqual([['once', 1]]);
  });
});
