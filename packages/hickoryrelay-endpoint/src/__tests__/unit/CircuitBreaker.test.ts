import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { BreakerState, CircuitBreaker } from '../../CircuitBreaker.js';

const SEED = 20_261_204;

describe('CircuitBreaker', () => {
  // Guards against calls to an endpoint that fails, and against a herd of probes when it returns.
  it('sends nothing while open and one probe at a time while half-open', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            wait: fc.integer({ min: 0, max: 3000 }),
            endsFirst: fc.boolean(),
            succeeds: fc.constantFrom(true, false, undefined),
          }),
          { maxLength: 100 },
        ),
        (steps) => {
          const breaker = new CircuitBreaker();
          const running: ReturnType<CircuitBreaker['begin']>[] = [];
          let probes: ReturnType<CircuitBreaker['begin']>[] = [];
          let now = 0;
          for (const { wait, endsFirst, succeeds } of steps) {
            now += wait;
            if (endsFirst) {
              const ended = running.shift();
              ended?.(succeeds, now);
              probes = probes.filter((probe) => probe !== ended);
            } else if (breaker.allows(now)) {
              const state = breaker.stateAt(now);
              expect(state).not.toBe(BreakerState.Open);
              const call = breaker.begin(now);
              running.push(call);
              if (state === BreakerState.HalfOpen) {
                probes.push(call);
              }
            }
            expect(probes.length).toBeLessThanOrEqual(1);
          }
        },
      ),
      { seed: SEED, numRuns: 500 },
    );
  });

  it('opens after three failures in a row and closes after a probe that succeeds', () => {
    const breaker = new CircuitBreaker();
    for (let failure = 0; failure < 3; failure += 1) {
      expect(breaker.allows(0)).toBe(true);
      breaker.begin(0)(false, 0);
    }
    expect(breaker.stateAt(999)).toBe(BreakerState.Open);
    expect(breaker.allows(999)).toBe(false);
    breaker.begin(1000)(false, 1000);
    expect(breaker.stateAt(2999)).toBe(BreakerState.Open);
    breaker.begin(3000)(true, 3000);
    expect(breaker.stateAt(3000)).toBe(BreakerState.Closed);
  });
});
