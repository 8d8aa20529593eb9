import { describe, expect, it } from 'vitest';

import { callOf, createUsageFixture } from './UsageFixture.js';
import { EngineFault } from './UsageSimulation.js';

/** A call with some progress, whose instance is then paused until it is considered dead. */
async function abandonedCall() {
  const fixture = createUsageFixture();
  const { simulation, second } = fixture;
  const isFinished = { value: false };
  await simulation.clock.advance(1000);
  const metered = second.usage.meter.open(callOf('call'), 'engine-1');
  metered.progress(300);
  simulation.engineCounts.set('call', () => ({
    ...{ isFinished: isFinished.value, promptTokens: 5, completionTokens: 700 },
  }));
  await simulation.clock.advance(1000);
  second.pause();
  return { ...fixture, isFinished };
}

describe('token counts of engines', () => {
  // Guards against a count that is too low because an engine failed to respond once.
  it('does not estimate a call whose engine gave a count recently', async () => {
    const { simulation, lines, isFinished } = await abandonedCall();
    await simulation.clock.advance(90_000);
    simulation.faults.engines = EngineFault.Unavailable;
    await simulation.clock.advance(30_000);
    Object.assign(isFinished, { value: true });
    simulation.faults.engines = EngineFault.None;
    await simulation.clock.advance(120_000);
    expect(lines().map((line) => line.slice(4))).toEqual([[1, 5, 700]]);
  });

  // Guards against usage that is never billed because its engine lost its counts.
  it.each([EngineFault.Unavailable, EngineFault.NoCount])(
    'counts the last progress if an engine gives no count for 60 s (%s)',
    async (fault) => {
      const { simulation, lines } = await abandonedCall();
      simulation.faults.engines = fault;
      await simulation.clock.advance(60_000);
      expect(lines()).toEqual([]);
      await simulation.clock.advance(120_000);
      expect(lines().map((line) => line.slice(4))).toEqual([[1, 0, 300]]);
    },
  );
});
