import { describe, expect, it } from 'vitest';
import { DISCARDED_BYTES_PER_SECOND, DiscardReader, DiscardTurns } from 'hickoryrelay/DiscardTurns';
import { ManualClock } from 'hickoryrelay/ManualClock';

const PORTION_BYTES = 65_536;

/** Has a portion whenever it is asked, until it has had so many bytes. */
class PortionReader extends DiscardReader {
  private readonly turns: DiscardTurns;

  private readonly bytes: number;

  constructor(turns: DiscardTurns, bytes = Number.POSITIVE_INFINITY) {
    super();
    this.turns = turns;
    this.bytes = bytes;
  }

  protected override drop(): number {
    if (this.discardedBytes + PORTION_BYTES < this.bytes) {
      queueMicrotask(() => this.turns.request(this));
    }
    return PORTION_BYTES;
  }
}

describe('DiscardTurns', () => {
  // Guards against buffers of endless callers, and against a short one that waits behind them until it is reset.
  it('keeps a rate for all together, and lets those go first that have dropped least', async () => {
    const clock = new ManualClock();
    const turns = new DiscardTurns(clock);
    const endless = Array.from({ length: 200 }, () => new PortionReader(turns));
    endless.forEach((reader) => turns.request(reader));
    await clock.advance(5000);
    const bytes = endless.reduce((sum, { discardedBytes }) => sum + discardedBytes, 0);
    expect(bytes).toBeGreaterThan(4.9 * DISCARDED_BYTES_PER_SECOND);
    expect(bytes).toBeLessThan(5.2 * DISCARDED_BYTES_PER_SECOND);
    const short = new PortionReader(turns, 4 * PORTION_BYTES);
    turns.request(short);
    await clock.advance(100);
    expect(short.discardedBytes).toBe(4 * PORTION_BYTES);
  });
});
