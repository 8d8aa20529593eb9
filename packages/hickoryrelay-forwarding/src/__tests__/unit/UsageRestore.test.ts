import fastCheck from 'fast-check';
import { describe, expect, it } from 'vitest';

import { LEASE_MILLISECONDS, UsageDeployment, WINDOW_MILLISECONDS } from './UsageRestoreFixture.js';

const WINDOWS_OF_DAY = 20;

/** Half of the permitted difference between the clocks of two instances. */
const MAXIMUM_CLOCK_OFFSET_MILLISECONDS = 2500;

const instanceArbitrary = fastCheck.nat(4);

const stepArbitrary = fastCheck.oneof(
  {
    weight: 8,
    arbitrary: fastCheck.record({
      type: fastCheck.constant('advance' as const),
      milliseconds: fastCheck.integer({ min: 1, max: 16 }).map((steps) => steps * 250),
      requests: fastCheck.array(fastCheck.nat(5), { minLength: 5, maxLength: 5 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fastCheck.record({
      type: fastCheck.constant('restore' as const),
      ageMilliseconds: fastCheck.nat(10_000),
      awayMilliseconds: fastCheck.integer({ min: 1, max: 10 }).map((steps) => steps * 250),
    }),
  },
  {
    weight: 2,
    arbitrary: fastCheck.record({
      type: fastCheck.constant('change-holder' as const),
      instance: instanceArbitrary,
      overlaps: fastCheck.boolean(),
      outlastsRestores: fastCheck.boolean(),
    }),
  },
  fastCheck.record({ type: fastCheck.constant('restart' as const), instance: instanceArbitrary }),
  fastCheck.record({
    type: fastCheck.constant('set-clock' as const),
    instance: instanceArbitrary,
    offsetMilliseconds: fastCheck.integer({
      min: -MAXIMUM_CLOCK_OFFSET_MILLISECONDS,
      max: MAXIMUM_CLOCK_OFFSET_MILLISECONDS,
    }),
  }),
  fastCheck.record({
    type: fastCheck.constant('delay-reports' as const),
    delayMilliseconds: fastCheck.option(fastCheck.nat(6000), { nil: undefined }),
  }),
  fastCheck.record({
    type: fastCheck.constant('lose-responses' as const),
    responses: fastCheck.nat(3),
  }),
  fastCheck.record({
    type: fastCheck.constant('lose-datagrams' as const),
    isLosing: fastCheck.boolean(),
  }),
);

interface RestoreOfDay {
  readonly atMilliseconds: number;
  readonly ageMilliseconds: number;
  readonly awayMilliseconds: number;
  readonly nextHolder: number;
  /** Whether the process of the last holder is killed while the store is away. */
  readonly killsHolder: boolean;
}

/** Runs 20 windows with one restore. Returns the windows that were not reported as they should. */
async function playDayWithRestore(
  restore: RestoreOfDay,
): Promise<{ unreported: number[]; tooLow: number[]; conflicting: number[] }> {
  const deployment = new UsageDeployment(5);
  deployment.changeHolder(0);
  const { clock, firstWindow } = deployment;
  const advanceTo = async (milliseconds: number) => {
    while (clock.monotonicMilliseconds() < milliseconds) {
      for (let instance = 0; instance < deployment.size; instance += 1) {
        deployment.count(instance, 1);
      }
      await deployment.advance(500);
    }
  };
  await advanceTo(restore.atMilliseconds);
  const { ageMilliseconds, awayMilliseconds } = restore;
  if (restore.killsHolder) {
    deployment.restart(0);
  }
  await deployment.restoreStore(ageMilliseconds, awayMilliseconds);
  await advanceTo(clock.monotonicMilliseconds() + LEASE_MILLISECONDS);
  deployment.changeHolder(restore.nextHolder);
  await advanceTo((WINDOWS_OF_DAY + 2) * WINDOW_MILLISECONDS);
  const windows = Array.from({ length: WINDOWS_OF_DAY }, (_unused, index) => firstWindow + index);
  const unreported = windows.filter((window) => deployment.reportedIn(window) === undefined);
  const tooLow = windows.filter((window) => {
    const reported = deployment.reportedIn(window);
    return reported !== undefined && reported < (deployment.counted.get(window) ?? 0) * 0.95;
  });
  const { conflictingWindows: conflicting } = deployment;
  await deployment.stop();
  return { unreported, tooLow, conflicting };
}

describe('usage reports with a store that is restored from a copy', () => {
  // Guards against a second report of a window whose seal was lost, with other counts.
  it('never have different counts for a window', async () => {
    await fastCheck.assert(
      fastCheck.asyncProperty(
        fastCheck.array(stepArbitrary, { minLength: 5, maxLength: 40 }),
        async (steps) => {
          const deployment = new UsageDeployment(5);
          deployment.changeHolder(0, { outlastsRestores: true });
          for (const step of steps) {
            if (step.type === 'advance') {
              step.requests.forEach((requests, instance) => deployment.count(instance, requests));
              await deployment.advance(step.milliseconds);
            } else if (step.type === 'restore') {
              await deployment.restoreStore(step.ageMilliseconds, step.awayMilliseconds);
            } else if (step.type === 'change-holder') {
              deployment.changeHolder(step.instance, step);
            } else if (step.type === 'restart') {
              deployment.restart(step.instance);
            } else if (step.type === 'set-clock') {
              deployment.setClockOffset(step.instance, step.offsetMilliseconds);
            } else if (step.type === 'delay-reports') {
              deployment.platform.delayMilliseconds = step.delayMilliseconds;
            } else if (step.type === 'lose-responses') {
              deployment.store.responsesToLose = step.responses;
            } else {
              deployment.network.isDelivered = () => !step.isLosing;
            }
          }
          deployment.platform.delayMilliseconds = undefined;
          deployment.changeHolder(1);
          await deployment.advance(8000);
          expect(deployment.conflictingWindows).toEqual([]);
          await deployment.stop();
        },
      ),
      { numRuns: 100 },
    );
  });

  // Guards against a mark that keeps the first windows of a deployment from being reported.
  it('contain all windows of a deployment whose store was never restored', async () => {
    const deployment = new UsageDeployment(3);
    deployment.changeHolder(0);
    deployment.count(1, 2);
    await deployment.advance(2 * WINDOW_MILLISECONDS);
    deployment.changeHolder(2);
    deployment.count(1, 3);
    await deployment.advance(2 * WINDOW_MILLISECONDS);
    expect(deployment.reportedIn(deployment.firstWindow)).toBe(2);
    expect(deployment.reportedIn(deployment.firstWindow + 2)).toBe(3);
    await deployment.stop();
  });

  // A new holder finds neither the seal nor all counts of a window that was reported before.
  it.each([
    { knows: 'another instance knows the seal', delivers: true, repeats: true },
    { knows: 'no instance knows the seal', delivers: false, repeats: false },
  ])('are repeated exactly or not at all if $knows', async ({ delivers, repeats }) => {
    const deployment = new UsageDeployment(3);
    deployment.changeHolder(0);
    deployment.network.isDelivered = () => delivers;
    deployment.count(0, 4);
    deployment.count(1, 2);
    deployment.count(2, 1);
    const { firstWindow: window } = deployment;
    await deployment.advance(WINDOW_MILLISECONDS + 2500);
    expect(deployment.reportedIn(window)).toBe(7);
    deployment.network.isDelivered = () => true;
    deployment.restart(0);
    await deployment.restoreStore(7000, 500);
    deployment.changeHolder(2, { outlastsRestores: true });
    await deployment.advance(WINDOW_MILLISECONDS);
    const reports = deployment.platform.accepted.get(window) ?? [];
    expect(new Set(reports).size).toBe(1);
    expect(reports.length > 1).toBe(repeats);
    await deployment.stop();
  });

  // Guards against losing the final counts of an instance that is gone when the store is restored.
  it('contain the counts of an instance that stopped before the restore', async () => {
    const deployment = new UsageDeployment(3);
    deployment.changeHolder(0, { outlastsRestores: true });
    await deployment.advance(1000);
    deployment.count(1, 4);
    deployment.count(2, 3);
    await deployment.advance(2000);
    await deployment.finish(1);
    await deployment.restoreStore(3000, 500);
    await deployment.advance(2 * WINDOW_MILLISECONDS);
    expect(deployment.reportedIn(deployment.firstWindow)).toBe(7);
    await deployment.stop();
  });

  // Guards against a holder whose clock is behind and that reports a window again whose seal and
  // counts were deleted after it was overdue for the holder before.
  it.each(Array.from({ length: 20 }, (_unused, index) => 20_000 + index * 250))(
    'are not repeated with other counts by a holder with an earlier clock after %i ms',
    async (milliseconds) => {
      const deployment = new UsageDeployment(2);
      deployment.network.isDelivered = () => false;
      deployment.setClockOffset(0, MAXIMUM_CLOCK_OFFSET_MILLISECONDS);
      deployment.setClockOffset(1, -MAXIMUM_CLOCK_OFFSET_MILLISECONDS);
      deployment.changeHolder(0);
      for (let passed = 0; passed < milliseconds; passed += 250) {
        deployment.count(0, 1);
        await deployment.advance(250);
      }
      deployment.changeHolder(1);
      await deployment.advance(2000);
      expect(deployment.conflictingWindows).toEqual([]);
      await deployment.stop();
    },
  );

  // Guards against giving up a window that ended while the store was away.
  it('contain a window that no holder can have sealed before the restore', async () => {
    const deployment = new UsageDeployment(3);
    deployment.changeHolder(0);
    await deployment.advance(3 * WINDOW_MILLISECONDS - 1000);
    deployment.count(1, 4);
    await deployment.restoreStore(7000, 2000);
    await deployment.advance(LEASE_MILLISECONDS - 1000);
    deployment.changeHolder(2);
    await deployment.advance(2 * WINDOW_MILLISECONDS);
    expect(deployment.reportedIn(deployment.firstWindow + 2)).toBe(4);
    expect(deployment.conflictingWindows).toEqual([]);
    await deployment.stop();
  });

  // Guards against giving up more windows than those that may have been reported before.
  it.each([
    { nextHolder: 0, killsHolder: false, maximum: 0, holder: 'the same holder' },
    { nextHolder: 3, killsHolder: false, maximum: 0, holder: 'a new holder' },
    { nextHolder: 3, killsHolder: true, maximum: 2, holder: 'a new holder after a crash' },
  ])(
    'leave at most $maximum windows unreported with $holder after a restore',
    async ({ nextHolder, killsHolder, maximum }) => {
      await fastCheck.assert(
        fastCheck.asyncProperty(
          fastCheck.integer({ min: 10_000, max: 80_000 }),
          fastCheck.nat(10_000),
          fastCheck.integer({ min: 2, max: 10 }).map((steps) => steps * 250),
          async (atMilliseconds, ageMilliseconds, awayMilliseconds) => {
            const { unreported, tooLow, conflicting } = await playDayWithRestore({
              atMilliseconds,
              ageMilliseconds,
              awayMilliseconds,
              nextHolder,
              killsHolder,
            });
            expect(conflicting).toEqual([]);
            expect(unreported.length).toBeLessThanOrEqual(maximum);
            // A kill loses the counts since the last write, which is no matter of the restore.
            expect(killsHolder ? [] : tooLow).toEqual([]);
          },
        ),
        { numRuns: 15 },
      );
    },
  );
});
