import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { EngineEventReader, parseCompleteResponse } from 'hickoryrelay-link/EngineEventReader';

const EVENTS = [
  { id: 'r', choices: [{ index: 0, delta: { role: 'assistant' }, finish_reason: null }] },
  { id: 'r', token_index: 0, choices: [{ index: 0, delta: { content: 'å ' } }] },
  { id: 'r', choices: [{ index: 0, delta: { tool_calls: [{}] } }] },
  { id: 'r', choices: [{ index: 0, delta: {}, finish_reason: 'stop' }] },
  { id: 'r', choices: [], usage: { prompt_tokens: 2, completion_tokens: 1 } },
].map((event) => `data: ${JSON.stringify(event)}\n\n`);
/** Longer than the largest event that a reader accepts. */
const LONG_EVENT_BYTES = 300_000;

/** Copying an event of this length for each byte takes many times as long. */
const READ_MILLISECONDS = 2000;

const STREAM = Buffer.from([...EVENTS, ': keep-alive\n\n', 'data: [DONE]\n\n'].join(''));

describe('EngineEventReader', () => {
  // Guards against events that are lost or garbled when a chunk ends inside them.
  it('yields the same events however the stream is split into chunks', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(STREAM.length)), (cuts) => {
        const reader = new EngineEventReader('engine');
        const points = [0, ...cuts.toSorted((left, right) => left - right), STREAM.length];
        const events = points.flatMap((start, index) => [
          ...reader.read(STREAM.subarray(start, points[index + 1] ?? STREAM.length)),
        ]);
        expect(events.map(({ kind }) => kind)).toEqual([
          'opening',
          'token',
          'token',
          'finish',
          'usage',
          'comment',
          'done',
        ]);
        expect(Buffer.concat(events.map(({ bytes }) => bytes)).equals(STREAM)).toBe(true);
        expect(events[1]).toMatchObject({ text: 'å ', tokenIndex: 0, isPlainText: true });
        expect(events[2]?.isPlainText).toBe(false);
      }),
    );
  });

  // Guards against an engine that takes the time of the event loop with pieces that complete no event.
  it('rejects an event without end after time that is linear in its length', () => {
    const reader = new EngineEventReader('engine');
    const piece = Buffer.from('x');
    let bytes = 0;
    let events = 0;
    const readAll = () => {
      for (; bytes < LONG_EVENT_BYTES; bytes += 1) {
        events += [...reader.read(piece)].length;
      }
    };
    const start = performance.now();
    expect(readAll).toThrow('Protocol violation by engine: an event exceeds 262144 bytes.');
    expect(performance.now() - start).toBeLessThan(READ_MILLISECONDS);
    expect(bytes).toBe(262_144);
    expect(events).toBe(0);
  });

  // Guards against an incomplete event that keeps the whole memory of the read that has brought its beginning.
  it('keeps no reference to the chunks that it has read', () => {
    const reader = new EngineEventReader('engine');
    const [opening = '', token = ''] = EVENTS;
    const chunk = Buffer.from(opening + token.slice(0, 20));
    expect([...reader.read(chunk)]).toHaveLength(1);
    chunk.fill('x');
    const [event] = [...reader.read(Buffer.from(token.slice(20)))];
    expect(event).toMatchObject({ kind: 'token', text: 'å ' });
  });

  // Guards against error messages that disclose a prompt or a response.
  it('rejects malformed events without quoting them', () => {
    const reader = new EngineEventReader('engine');
    expect(() => [...reader.read(Buffer.from('data: {"secret\n\n'))]).toThrow(
      'Protocol violation by engine: an event is not a JSON object.',
    );
  });

  // Guards against a truncated response that is billed and relayed as complete.
  it('treats a truncated response as incomplete', () => {
    const usage = { prompt_tokens: 1, completion_tokens: 2 };
    const whole = JSON.stringify({ id: 'r', choices: [{}], usage });
    expect(parseCompleteResponse(Buffer.from(whole))?.requestIdentifier).toBe('r');
    expect(parseCompleteResponse(Buffer.from(whole.slice(0, -1)))).toBeUndefined();
  });
});
