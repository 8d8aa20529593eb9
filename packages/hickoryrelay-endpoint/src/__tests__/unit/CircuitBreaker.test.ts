import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { BreakerState, CircuitBreaker } from '../../CircuitBreaker.js';

const SEED = 20_261_204;

describe('CircuitBreaker', () => {
  // Guards against calls to a failing endpoint and against many concurrent probes when it recovers.
  it('allows no call while open and one probe at a time while half-open', () => {
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
          const running: ReturnType<CircuitBreaker['startCall']>[] = [];
          let probes: ReturnType<CircuitBreaker['startCall']>[] = [];
          let now = 0;
          for (const { wait, endsFirst, succeeds } of steps) {
            now += wait;
            if (endsFirst) {
              const ended = running.shift();
              ended?.(succeeds, now);
              probes = probes.filter((probe) => probe !== ended);
            } else if (breaker.allowsCall(now)) {
              const state = breaker.stateAt(now);
              expect(state).not.toBe(BreakerState.Open);
              const call = breaker.startCall(now);
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

  // Guards against a breaker that opens after a single failure or stays open after recovery.
  it('opens after three consecutive failures and closes after a successful probe', () => {
    const breaker = new CircuitBreaker();
    for (let failure = 0; failure < 3; failure += 1) {
      expect(breaker.allowsCall(0)).toBe(true);
      breaker.startCall(0)(false, 0);
    }
    expect(breaker.stateAt(999)).toBe(BreakerState.Open);
    expect(breaker.allowsCall(999)).toBe(false);
    breaker.startCall(1000)(false, 1000);
    expect(breaker.stateAt(2999)).toBe(BreakerState.Open);
    breaker.startCall(3000)(true, 3000);
    expect(breaker.stateAt(3000)).toBe(BreakerState.Closed);
  });
});
