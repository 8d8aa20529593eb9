import { describe, expect, it } from 'vitest';
import { ReadingPace } from 'hickoryrelay-forwarding/ReadingPace';

describe('the pace of reading', () => {
  it('is learned apart and in place, each from its own readings', () => {
    const pace = new ReadingPace();
    const before = pace.apart;
    for (let reading = 0; reading < 40; reading += 1) {
      pace.learnInPlace(3000, 120);
    }
    expect(pace.inPlace).toBeCloseTo(30, 0);
    expect(pace.apart).toBe(before);
    for (let reading = 0; reading < 80; reading += 1) {
      pace.learn(16_000, 508);
    }
    expect(pace.apart).toBeCloseTo(32, 0);
    expect(pace.inPlace).toBeCloseTo(30, 0);
  });

  // Guards against a pace that the way to the engine decides.
  it('is not learned from short prompts', () => {
    const pace = new ReadingPace();
    const { apart, inPlace } = pace;
    pace.learn(300, 90);
    pace.learnInPlace(300, 90);
    expect(pace).toMatchObject({ apart, inPlace });
  });
});
