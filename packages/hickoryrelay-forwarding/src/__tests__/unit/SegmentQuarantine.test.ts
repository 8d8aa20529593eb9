import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { CrashEvidence } from 'hickoryrelay-forwarding/CrashEvidence';
import { SegmentQuarantine } from 'hickoryrelay-forwarding/SegmentQuarantine';

const DEADLY = 100;
const FIRST = 1;
const OTHER = 2;

/** Crashes of engines and begins of runs, in order. A crash lists the segments of the lost run. */
type Step = { readonly crash: readonly number[] } | { readonly begin: readonly number[] };

async function makeQuarantine(steps: readonly Step[], periodMilliseconds = 200) {
  const clock = new ManualClock();
  const evidence = new CrashEvidence();
  const quarantine = new SegmentQuarantine(evidence, clock);
  let engine = 0;
  for (const step of steps) {
    await clock.advance(periodMilliseconds);
    if ('crash' in step) {
      engine += 1;
      quarantine.recordCrash(engine, step.crash);
    } else {
      quarantine.recordBegin(step.begin);
    }
  }
  return { clock, evidence, quarantine };
}

function isRefused(quarantine: SegmentQuarantine, segments: readonly number[]): boolean {
  return quarantine.findGroup(segments) !== undefined;
}

describe('SegmentQuarantine', () => {
  const crash = (...segments: number[]): Step => ({ crash: segments });
  const begin = (...segments: number[]): Step => ({ begin: segments });

  it.each([
    ['two crashes', [crash(DEADLY), crash(DEADLY)], [[DEADLY]], []],
    ['three crashes', [crash(DEADLY), crash(DEADLY), crash(DEADLY)], [], [[DEADLY]]],
    [
      'a begun run after three crashes',
      [crash(OTHER), crash(OTHER), crash(OTHER), begin(OTHER)],
      [[OTHER]],
      [],
    ],
    [
      'a first segment that sound requests share',
      [begin(FIRST), crash(FIRST, DEADLY), crash(FIRST, DEADLY), crash(FIRST, DEADLY)],
      [[FIRST], [FIRST, OTHER]],
      [[FIRST, DEADLY], [DEADLY]],
    ],
    [
      'a first segment that no sound request has had yet',
      [crash(FIRST, DEADLY), crash(FIRST, DEADLY), crash(FIRST, DEADLY)],
      [[FIRST], [FIRST, OTHER]],
      [[FIRST, DEADLY]],
    ],
    [
      'a first segment whose sound requests begin afterwards',
      [crash(FIRST, DEADLY), crash(FIRST, DEADLY), crash(FIRST, DEADLY), begin(FIRST)],
      [[FIRST, OTHER]],
      [
        [FIRST, DEADLY],
        [OTHER, DEADLY],
      ],
    ],
    [
      'a segment that was at three engines with the deadly one',
      [crash(OTHER, DEADLY), crash(OTHER, DEADLY), crash(OTHER, DEADLY), crash(DEADLY)],
      [[OTHER]],
      [[DEADLY], [OTHER, DEADLY]],
    ],
    [
      'two deadly segments',
      [1, 2, 3].flatMap(() => [crash(DEADLY, FIRST), crash(OTHER, FIRST)]),
      [],
      [[FIRST], [FIRST, DEADLY]],
    ],
    [
      'a segment that was begun before it became deadly',
      [begin(DEADLY), begin(FIRST), crash(DEADLY), crash(FIRST, DEADLY), crash(DEADLY)],
      [[FIRST]],
      [[DEADLY]],
    ],
  ] as [string, Step[], number[][], number[][]][])(
    'decides after %s',
    async (_name, steps, accepted, refused) => {
      const { quarantine } = await makeQuarantine(steps);
      for (const segments of accepted) {
        expect(isRefused(quarantine, segments), `accepts ${segments.join()}`).toBe(false);
      }
      for (const segments of refused) {
        expect(isRefused(quarantine, segments), `refuses ${segments.join()}`).toBe(true);
      }
    },
  );

  // Guards against the refusal of a sound segment because a whole zone lost its engines at once.
  it('counts crashes at one time once for a segment that engines have begun', async () => {
    const { quarantine } = await makeQuarantine([begin(OTHER)]);
    for (let engine = 0; engine < 6; engine += 1) {
      quarantine.recordCrash(engine, [OTHER]);
    }
    expect(isRefused(quarantine, [OTHER])).toBe(false);
  });

  // Guards against sound requests that fail because several engines ended at one time.
  it('does not withhold retries for a begun segment that was at several engines at one time', async () => {
    const { quarantine } = await makeQuarantine([begin(OTHER)]);
    for (let engine = 0; engine < 6; engine += 1) {
      quarantine.recordCrash(engine, [OTHER]);
    }
    expect(quarantine.isSuspect([OTHER])).toBe(false);
  });

  it('keeps refusing while requests come, and ends without any', async () => {
    const { clock, evidence, quarantine } = await makeQuarantine(
      [1, 2, 3].map(() => crash(DEADLY)),
    );
    for (let minute = 0; minute < 30; minute += 1) {
      await clock.advance(60_000);
      evidence.expire(clock.monotonicMilliseconds());
      expect(isRefused(quarantine, [DEADLY])).toBe(true);
      quarantine.recordRefusal([DEADLY]);
    }
    await clock.advance(601_000);
    evidence.expire(clock.monotonicMilliseconds());
    expect(isRefused(quarantine, [DEADLY])).toBe(false);
  });

  // Guards against a sound segment that stays refused because nothing can begin it any more.
  it('ends within a minute for a segment that engines have begun before', async () => {
    const { clock, evidence, quarantine } = await makeQuarantine([
      begin(OTHER),
      ...[1, 2, 3].map(() => crash(OTHER)),
    ]);
    expect(isRefused(quarantine, [OTHER])).toBe(true);
    for (let second = 0; second < 61; second += 1) {
      quarantine.recordRefusal([OTHER]);
      await clock.advance(1000);
      evidence.expire(clock.monotonicMilliseconds());
    }
    expect(isRefused(quarantine, [OTHER])).toBe(false);
  });

  it.each([
    ['was never begun', [crash(DEADLY)], true],
    ['was begun before', [begin(DEADLY), crash(DEADLY)], false],
    ['was begun before two crashes', [begin(DEADLY), crash(DEADLY), crash(DEADLY)], true],
    ['has been begun since', [crash(DEADLY), begin(DEADLY)], false],
  ] as [string, Step[], boolean][])(
    'withholds retries only of lost runs that may be the cause: a segment that %s',
    async (_name, steps, isSuspect) => {
      const { quarantine } = await makeQuarantine(steps);
      expect(quarantine.isSuspect([DEADLY])).toBe(isSuspect);
    },
  );

  // The oracle knows the deadly segment; its requests share first segments with sound ones.
  it('refuses requests with the deadly segment and no others, whatever runs beside them', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(
          fc.record({
            isDeadly: fc.boolean(),
            first: fc.integer({ min: 1, max: 4 }),
            lostBeside: fc.array(fc.integer({ min: 5, max: 9 }), { maxLength: 3 }),
          }),
          { minLength: 30, maxLength: 60 },
        ),
        async (requests) => {
          const clock = new ManualClock();
          const quarantine = new SegmentQuarantine(new CrashEvidence(), clock);
          quarantine.recordBegin([5, 6, 7, 8, 9]);
          let crashes = 0;
          for (const { isDeadly, first, lostBeside } of requests) {
            await clock.advance(150);
            const segments = isDeadly ? [first, DEADLY] : [first];
            if (isRefused(quarantine, segments)) {
              expect(isDeadly).toBe(true);
            } else if (isDeadly) {
              crashes += 1;
              quarantine.recordCrash(crashes, segments);
              quarantine.recordCrash(crashes, lostBeside);
            } else {
              quarantine.recordBegin(segments);
            }
          }
          expect(crashes).toBeLessThanOrEqual(5);
        },
      ),
      { seed: 25, numRuns: 300 },
    );
  });
});
