import { describe, expect, test } from 'vitest';
import { HISTORY_MILLISECONDS } from 'hickoryrelay-stream/ObservationPeriod';
import { VersionHistory } from 'hickoryrelay-stream/VersionHistory';

const BOUND = 2000;

function observe(history: VersionHistory, versions: string[], from: number, to: number): void {
  for (let now = from; now <= to; now += BOUND / 2) {
    history.observe(new Map([['chat', new Set(versions)]]), now);
  }
}

describe('VersionHistory', () => {
  test('establishes a version only when every current view has it, and again after it was away', () => {
    const history = new VersionHistory(BOUND);
    observe(history, ['1'], 0, 5000);
    observe(history, ['1', '2'], 6000, 6000 + BOUND);
    expect(history.isEstablished('chat', '2')).toBe(false);
    observe(history, ['1', '2'], 6001 + BOUND, 10_000);
    expect(history.isEstablished('chat', '2')).toBe(true);
    observe(history, ['1'], 11_000, 24_000);
    observe(history, ['1', '2'], 25_000, 25_000);
    expect(history.isEstablished('chat', '2')).toBe(false);
  });

  test('is settled only while it is current and has watched without a break', () => {
    const history = new VersionHistory(BOUND);
    observe(history, ['1'], 0, HISTORY_MILLISECONDS);
    expect(history.soleVersion('chat', HISTORY_MILLISECONDS)?.isSettled).toBe(true);
    expect(history.soleVersion('chat', HISTORY_MILLISECONDS + BOUND + 1)?.isSettled).toBe(false);
    observe(history, ['1'], HISTORY_MILLISECONDS + BOUND + 1, HISTORY_MILLISECONDS + BOUND + 1);
    expect(history.soleVersion('chat', HISTORY_MILLISECONDS + BOUND + 1)?.isSettled).toBe(false);
  });

  // Guards against streams at a version that another instance, which is settled on the earlier one, has never seen.
  test.each([
    ['its engines vanish from the store for a while', ['1'], true],
    ['the store goes out', ['1', '2'], false],
  ])('does not establish a version that was seen once before %s', (_name, meanwhile, isRead) => {
    const history = new VersionHistory(BOUND);
    observe(history, ['1'], 0, 5000);
    observe(history, ['1', '2'], 6000, 6000);
    if (isRead) {
      observe(history, meanwhile, 7000, 9000);
      observe(history, ['1', '2'], 10_000, 10_000);
    }
    expect(history.isEstablished('chat', '2')).toBe(false);
  });

  test('keeps an established version that is missing in the store for a while', () => {
    const history = new VersionHistory(BOUND);
    observe(history, ['1'], 0, HISTORY_MILLISECONDS);
    observe(history, [], 21_000, 25_000);
    observe(history, ['1'], 26_000, 26_000);
    expect(history.isEstablished('chat', '1')).toBe(true);
    expect(history.soleVersion('chat', 26_000)?.isSettled).toBe(true);
  });

  test('drops what other instances have agreed on once the version is missing', () => {
    const history = new VersionHistory(BOUND);
    observe(history, ['1'], 0, 0);
    history.establish('chat', '1');
    expect(history.isEstablished('chat', '1')).toBe(true);
    observe(history, [], 1000, 1000);
    observe(history, ['1'], 2000, 2000);
    expect(history.isEstablished('chat', '1')).toBe(false);
  });

  // Guards against a settled answer by an instance that has not yet seen the other version.
  test('is not settled on a version before every current view has it', () => {
    const history = new VersionHistory(BOUND);
    observe(history, [], 0, 29_000);
    observe(history, ['1'], 30_000, 30_000 + BOUND);
    expect(history.soleVersion('chat', 30_000 + BOUND)?.isSettled).toBe(false);
    observe(history, ['1'], 31_000 + BOUND, 31_000 + BOUND);
    expect(history.soleVersion('chat', 31_000 + BOUND)?.isSettled).toBe(true);
  });
});
