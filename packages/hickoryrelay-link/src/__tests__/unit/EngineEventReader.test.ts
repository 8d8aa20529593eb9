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
