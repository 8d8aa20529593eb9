import { describe, expect, it } from 'vitest';

import { callOf, smallWorld } from './SmallWorld.js';
import { EngineFault } from './TestWorld.js';

/** A call with some progress whose instance was paused for longer than it takes to be dead. */
async function abandonedCall() {
  const small = smallWorld();
  const { world, second } = small;
  const isFinished = { value: false };
  await world.clock.advance(1000);
  const metered = second.usage.meter.open(callOf('call'), 'engine-1');
  metered.progress(300);
  world.engineCounts.set('call', () => ({
    ...{ isFinished: isFinished.value, promptTokens: 5, completionTokens: 700 },
  }));
  await world.clock.advance(1000);
  second.pause();
  return { ...small, isFinished };
}

describe('counts of engines', () => {
  // Guards against a figure below the true one because an engine failed to answer once.
  it('does not estimate a call whose engine gave a count a moment ago', async () => {
    const { world, lines, isFinished } = await abandonedCall();
    await world.clock.advance(90_000);
    world.faults.engines = EngineFault.Out;
    await world.clock.advance(30_000);
    Object.assign(isFinished, { value: true });
    world.faults.engines = EngineFault.None;
    await world.clock.advance(120_000);
    expect(lines().map((line) => line.slice(4))).toEqual([[1, 5, 700]]);
  });

  // Guards against use that is never billed because its engine lost its figures.
  it.each([EngineFault.Out, EngineFault.NoFigures])(
    'counts the last progress if an engine gives no count for 60 s (%s)',
    async (fault) => {
      const { world, lines } = await abandonedCall();
      world.faults.engines = fault;
      await world.clock.advance(60_000);
      expect(lines()).toEqual([]);
      await world.clock.advance(120_000);
      expect(lines().map((line) => line.slice(4))).toEqual([[1, 0, 300]]);
    },
  );
});
