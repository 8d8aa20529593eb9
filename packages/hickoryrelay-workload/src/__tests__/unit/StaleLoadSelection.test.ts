import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { StaleLoadSelection } from 'hickoryrelay-workload/StaleLoadSelection';

const CHOICES = 4000;

interface Candidate {
  readonly cost: number;
  readonly step: number;
  readonly room: number;
}

/** Counts how often each candidate is chosen. */
function countChoices(candidates: readonly Candidate[], expectedRequests: number): number[] {
  const selection = new StaleLoadSelection();
  const random = new SeededRandomSource(3);
  const counts = candidates.map(() => 0);
  for (let choice = 0; choice < CHOICES; choice += 1) {
    selection.begin();
    candidates.forEach(({ cost, step, room }) => selection.add(cost, step, room, step + 30));
    const chosen = selection.choose(expectedRequests, random);
    counts[chosen] = (counts[chosen] ?? 0) + 1;
  }
  return counts;
}

describe('StaleLoadSelection', () => {
  it('chooses the cheapest candidate while no requests are unreported', () => {
    const candidates = [10, 8, 9].map((cost) => ({ cost, step: 1.5, room: 10 }));
    expect(countChoices(candidates, 0)).toEqual([0, CHOICES, 0]);
  });

  // Guards against the overload of the endpoint that all instances see as the cheapest.
  it('distributes requests over equal candidates', () => {
    const candidates = Array.from({ length: 4 }, () => ({ cost: 10, step: 1.5, room: 10 }));
    for (const count of countChoices(candidates, 8)) {
      expect(count).toBeGreaterThan((CHOICES / 4) * 0.9);
      expect(count).toBeLessThan((CHOICES / 4) * 1.1);
    }
  });

  it('leaves out candidates that stay more expensive than the others with the unreported requests', () => {
    const candidates = [10, 10, 30].map((cost) => ({ cost, step: 1.5, room: 10 }));
    const [, , expensive] = countChoices(candidates, 8);
    expect(expensive).toBe(0);
    const [, , used] = countChoices(candidates, 40);
    expect(used).toBeGreaterThan(0);
  });

  it('sends twice as many requests to a candidate whose cost rises half as fast', () => {
    const [slow = 0, fast = 0] = countChoices(
      [
        { cost: 10, step: 2, room: 10 },
        { cost: 10, step: 1, room: 10 },
      ],
      6,
    );
    expect(fast / slow).toBeGreaterThan(1.8);
    expect(fast / slow).toBeLessThan(2.2);
  });

  // Guards against requests to endpoints without a free slot while others have one.
  it('rarely chooses a candidate without room while others have some', () => {
    const [full = 0] = countChoices(
      [
        { cost: 10, step: 1.5, room: 0 },
        { cost: 12, step: 1.5, room: 10 },
        { cost: 12, step: 1.5, room: 10 },
      ],
      6,
    );
    expect(full / CHOICES).toBeLessThan(0.05);
  });

  it('chooses a candidate whenever there is one, and none otherwise', () => {
    const candidate = fc.record({
      cost: fc.double({ min: 0, max: 1e6, noNaN: true }),
      step: fc.double({ min: 1e-3, max: 1e3, noNaN: true }),
      room: fc.double({ min: -100, max: 1e6, noNaN: true }),
    });
    const expected = fc.oneof(
      fc.constant(0),
      fc.constant(Number.NaN),
      fc.double({ min: 0, max: 1e5, noNaN: true }),
    );
    const selection = new StaleLoadSelection();
    fc.assert(
      fc.property(
        fc.array(candidate, { maxLength: 300 }),
        expected,
        fc.integer(),
        (candidates, expectedRequests, seed) => {
          selection.begin();
          candidates.forEach(({ cost, step, room }) => selection.add(cost, step, room, step + 30));
          const chosen = selection.choose(expectedRequests, new SeededRandomSource(seed));
          expect(chosen).toBeGreaterThanOrEqual(candidates.length === 0 ? -1 : 0);
          expect(chosen).toBeLessThan(Math.max(1, candidates.length));
        },
      ),
    );
  });
});
