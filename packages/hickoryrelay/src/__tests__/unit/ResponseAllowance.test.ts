import { describe, expect, it } from 'vitest';
import { ResponseAllowance } from 'hickoryrelay/ResponseAllowance';

import { StepClock } from './StepClock.js';

const SECOND_MILLISECONDS = 1000;

/** Receives a response in portions and returns the bytes that were accepted, up to a limit. */
function receive(
  framingBytes: number,
  bodyBytes: number,
  { chunksPerSecond, chunks }: { readonly chunksPerSecond: number; readonly chunks: number },
): number {
  const clock = new StepClock();
  const allowance = new ResponseAllowance(clock, 'peer');
  const counts = { bytesRead: 0, readableLength: 0 };
  allowance.begin(counts);
  counts.bytesRead += 200;
  allowance.recordHead({ readableLength: 0 });
  for (let count = 0; count < chunks; count += 1) {
    if (allowance.nextBytes(counts) <= 0) {
      return count;
    }
    counts.bytesRead += framingBytes + bodyBytes;
    allowance.recordTaken(bodyBytes);
    if (Number.isFinite(chunksPerSecond)) {
      clock.nowMilliseconds += SECOND_MILLISECONDS / chunksPerSecond;
    }
  }
  return chunks;
}

describe('ResponseAllowance', () => {
  // Guards against limits that cut sound responses.
  it.each([
    ['an event a millisecond, in three chunks', 6, 10, 3000, 90_000],
    ['a fast body of small chunks', 7, 1024, Infinity, 1_000_000],
    ['a fast body of large chunks', 8, 65_536, Infinity, 100_000],
    ['a fast body of known length', 0, 65_536, Infinity, 100_000],
    ['a slow body of one-byte chunks', 5, 1, 1000, 60_000],
  ])('accepts %s', (_name, framingBytes, bodyBytes, chunksPerSecond, chunks) => {
    expect(receive(framingBytes, bodyBytes, { chunksPerSecond, chunks })).toBe(chunks);
  });

  // Guards against framing that is parsed without end.
  it.each([
    ['one-byte chunks', 5, 1],
    ['two-byte chunks', 5, 2],
    ['bytes that are never a body', 4096, 0],
  ])('ends %s without end', (_name, framingBytes, bodyBytes) => {
    const chunks = 1_000_000;
    const count = receive(framingBytes, bodyBytes, { chunksPerSecond: Infinity, chunks });
    expect(count * framingBytes).toBeLessThanOrEqual(65_536);
  });

  it('counts the head for each request, with interim responses', () => {
    const allowance = new ResponseAllowance(new StepClock(), 'peer');
    const counts = { bytesRead: 1_000_000, readableLength: 0 };
    allowance.begin(counts);
    counts.bytesRead += 16_000;
    expect(allowance.nextBytes(counts)).toBe(384);
    counts.bytesRead += 384;
    expect(allowance.nextBytes(counts)).toBeLessThanOrEqual(0);
    allowance.begin(counts);
    expect(allowance.nextBytes(counts)).toBe(4096);
  });

  it('counts body bytes that the client library has buffered as body', () => {
    const allowance = new ResponseAllowance(new StepClock(), 'peer');
    const counts = { bytesRead: 0, readableLength: 0 };
    allowance.begin(counts);
    const body = { readableLength: 0 };
    allowance.recordHead(body);
    counts.bytesRead = 1_000_000;
    body.readableLength = 1_000_000;
    expect(allowance.nextBytes(counts)).toBeGreaterThan(0);
  });
});
