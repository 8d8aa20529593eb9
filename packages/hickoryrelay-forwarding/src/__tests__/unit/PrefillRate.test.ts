import { describe, expect, it } from 'vitest';
import { PrefillRate } from 'hickoryrelay-forwarding/PrefillRate';

describe('PrefillRate', () => {
  it('averages remote and local prefills separately', () => {
    const prefillRate = new PrefillRate();
    const before = prefillRate.remote;
    for (let sample = 0; sample < 40; sample += 1) {
      prefillRate.recordLocal(3000, 120);
    }
    expect(prefillRate.local).toBeCloseTo(30, 0);
    expect(prefillRate.remote).toBe(before);
    for (let sample = 0; sample < 80; sample += 1) {
      prefillRate.recordRemote(16_000, 508);
    }
    expect(prefillRate.remote).toBeCloseTo(32, 0);
    expect(prefillRate.local).toBeCloseTo(30, 0);
  });

  // Guards against a rate that reflects the network latency instead of the engine.
  it('ignores short prompts', () => {
    const prefillRate = new PrefillRate();
    const { remote, local } = prefillRate;
    prefillRate.recordRemote(300, 90);
    prefillRate.recordLocal(300, 90);
    expect(prefillRate).toMatchObject({ remote, local });
  });
});
