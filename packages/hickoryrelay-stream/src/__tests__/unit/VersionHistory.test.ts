import { describe, expect, test } from 'vitest';
import { HISTORY_MILLISECONDS, VersionHistory } from 'hickoryrelay-stream/VersionHistory';

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
    observe(history, ['1', '2'], 6000, 10_000);
    expect(history.isEstablished('chat', '2', 6000 + BOUND)).toBe(false);
    expect(history.isEstablished('chat', '2', 6001 + BOUND)).toBe(true);
    observe(history, ['1'], 11_000, 24_000);
    observe(history, ['1', '2'], 25_000, 25_000);
    expect(history.isEstablished('chat', '2', 25_000)).toBe(false);
  });

  test('is settled only while it is current and has watched without a break', () => {
    const history = new VersionHistory(BOUND);
    observe(history, ['1'], 0, HISTORY_MILLISECONDS);
    expect(history.soleVersion('chat', HISTORY_MILLISECONDS)?.isSettled).toBe(true);
    expect(history.soleVersion('chat', HISTORY_MILLISECONDS + BOUND + 1)?.isSettled).toBe(false);
    observe(history, ['1'], HISTORY_MILLISECONDS + BOUND + 1, HISTORY_MILLISECONDS + BOUND + 1);
    expect(history.soleVersion('chat', HISTORY_MILLISECONDS + BOUND + 1)?.isSettled).toBe(false);
  });
});
