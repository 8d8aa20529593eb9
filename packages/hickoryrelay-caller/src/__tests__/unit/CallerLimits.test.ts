import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  callerLimitsOf,
  findLimitProblems,
  largestBodyBytes,
} from 'hickoryrelay-caller/CallerLimits';

const HEAP_BYTES = 134_217_728;
const CONFIGURED_BODY_BYTES = 4_194_304;

// Guards against defaults with which a caller within the configuration's limits is refused.
describe('callerLimitsOf', () => {
  it('takes the largest configured body on any machine of a deployment', () => {
    const machine = fc.record({
      memoryMegabytes: fc.integer({ min: 190, max: 602 }),
      fileDescriptors: fc.integer({ min: 240, max: 10_250 }),
      heapBytes: fc.constant(HEAP_BYTES),
    });
    fc.assert(
      fc.property(machine, (resources) => {
        const limits = callerLimitsOf(resources);
        expect(findLimitProblems(limits)).toEqual([]);
        expect(largestBodyBytes(limits)).toBeGreaterThanOrEqual(CONFIGURED_BODY_BYTES);
        expect(limits.connections + limits.requests).toBeLessThan(resources.fileDescriptors);
      }),
    );
  });

  it('prefers what the settings state', () => {
    const resources = { memoryMegabytes: 210, fileDescriptors: 2212, heapBytes: HEAP_BYTES };
    expect(callerLimitsOf(resources, { connections: 5, memoryBytes: undefined })).toMatchObject({
      connections: 5,
      memoryBytes: Math.floor(210 * 1_048_576 * 0.15),
    });
  });

  it.each([
    [{ reserveBytes: 40_000_000 }, ['reserveBytes', 'connectionBytes']],
    [{ connectionBytes: 30_000_000 }, ['connectionBytes']],
    [{ connectionBytes: 1000 }, ['connectionBytes']],
  ])('finds limits that contradict each other: %j', (stated, names) => {
    const resources = { memoryMegabytes: 210, fileDescriptors: 2212, heapBytes: HEAP_BYTES };
    const problems = findLimitProblems(callerLimitsOf(resources, stated));
    expect(problems.map(({ limit }) => limit)).toEqual(names);
  });
});
