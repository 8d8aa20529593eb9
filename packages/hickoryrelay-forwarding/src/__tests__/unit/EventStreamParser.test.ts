import { assert, array, constantFrom, property, string, uint8Array } from 'fast-check';
import { describe, expect, it, vi } from 'vitest';
import { MAXIMUM_EVENT_BYTES } from 'hickoryrelay/IncompleteEvent';
import { RelayError } from 'hickoryrelay/RelayError';
import { EventStreamParser } from 'hickoryrelay-forwarding/EventStreamParser';

function parse(chunks: readonly Buffer[]) {
  const parser = new EventStreamParser('e-1');
  const events = chunks.flatMap((chunk) => [...(parser.push(chunk)?.events() ?? [])]);
  return { events, remainder: parser.remainder };
}

/** Splits at every blank line by a regular expression, as a simple oracle. */
function splitWhole(text: string): string[] {
  return text.match(/[^]*?\n\r?\n/gu) ?? [];
}

describe('EventStreamParser', () => {
  it('finds the same events wherever the bytes are split', () => {
    const pieces = constantFrom('\n', '\r\n', '\n\n', '\r', 'id: 7', 'data: x', ':', '\r\n\r\n');
    assert(
      property(
        array(pieces),
        array(uint8Array({ maxLength: 1 })),
        string(),
        (parts, cuts, tail) => {
          const whole = Buffer.from(parts.join('') + tail);
          const chunks: Buffer[] = [];
          let start = 0;
          for (const cut of cuts) {
            const end = Math.min(whole.length, start + (cut[0] ?? 1));
            chunks.push(whole.subarray(start, end));
            start = end;
          }
          chunks.push(whole.subarray(start));
          const { events, remainder } = parse(chunks);
          const texts = events.map(({ bytes }) => bytes.toString('utf8'));
          expect(texts).toEqual(splitWhole(whole.toString('utf8')));
          expect(texts.join('') + remainder.toString('utf8')).toBe(whole.toString('utf8'));
        },
      ),
    );
  });

  // Guards against memory that grows as long as an endpoint sends bytes that end no event.
  it.each([
    ['small chunks', 7],
    ['large chunks', 100_000],
  ])('fails an event that exceeds the limit, in %s', (_name, size) => {
    const parser = new EventStreamParser('e-1');
    let accepted = 0;
    const pushUntilFailure = () => {
      for (;;) {
        expect(parser.push(Buffer.alloc(size, 'x'))).toBeUndefined();
        accepted += size;
      }
    };
    expect(pushUntilFailure).toThrow(RelayError);
    expect(accepted).toBeLessThanOrEqual(MAXIMUM_EVENT_BYTES);
    expect(parser.remainder.length).toBe(accepted);
  });

  // Guards against joining and searching all earlier bytes again for each chunk.
  it('reads each byte of an event once', () => {
    const parser = new EventStreamParser('e-1');
    let readBytes = 0;
    const countReads = (buffer: Buffer) =>
      new Proxy(buffer, {
        get: (target, key) => {
          readBytes += /^\d+$/u.test(String(key)) ? 1 : 0;
          const value: unknown = Reflect.get(target, key, target);
          return typeof value === 'function' ? (value.bind(target) as unknown) : value;
        },
      });
    const search = vi.spyOn(Buffer.prototype, 'indexOf');
    for (let count = 0; count < 4000; count += 1) {
      expect(parser.push(countReads(Buffer.alloc(64, 'x')))).toBeUndefined();
    }
    const searchedBytes = search.mock.contexts.reduce((sum, { length }) => sum + length, 0);
    search.mockRestore();
    expect(readBytes + searchedBytes).toBe(4000 * 64);
  });

  // Guards against events that are counted or told apart differently in a batch than one by one.
  it('counts the events of a batch and finds their identifiers', () => {
    const parser = new EventStreamParser('e-1');
    expect(parser.push(Buffer.from('id: 1\nda'))).toBeUndefined();
    const batch = parser.push(Buffer.from('ta: x\n\ndata: y\r\n\r\nid:3\r\n\r\nid: 4'));
    expect(batch).toMatchObject({ length: 3, mayHaveIdentifiers: true });
    const identifiers = [...(batch?.events() ?? [])].map(({ identifier }) => identifier);
    expect(identifiers).toEqual(['1', undefined, '3']);
    expect(parser.remainder.toString()).toBe('id: 4');
    expect(parser.push(Buffer.from('\ndata: z\n\n'))?.length).toBe(1);
    expect(parser.push(Buffer.from('data: z\n\n'))?.mayHaveIdentifiers).toBe(false);
  });
});
