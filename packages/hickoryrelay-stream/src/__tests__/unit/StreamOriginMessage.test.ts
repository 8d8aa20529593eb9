import { describe, expect, test } from 'vitest';
import { OriginAnswerKind } from 'hickoryrelay-stream/OriginAnswer';
import {
  decodeStreamOrigin,
  STREAM_ORIGIN_KIND,
  StreamOriginContent,
  streamOriginElements,
} from 'hickoryrelay-stream/StreamOriginMessage';

import type { StreamOriginMessage } from 'hickoryrelay-stream/StreamOriginMessage';

const kind = STREAM_ORIGIN_KIND;
const replyTo = { host: '127.0.0.1', port: 7000 };

describe('StreamOriginMessage', () => {
  test.each<StreamOriginMessage>([
    {
      kind,
      content: StreamOriginContent.Records,
      records: [
        { key: 2 ** 53 - 1, version: '1', isConflicting: false },
        { key: 2, version: undefined, isConflicting: false },
        { key: 3, version: undefined, isConflicting: true },
      ],
    },
    {
      kind,
      content: StreamOriginContent.Questions,
      replyTo,
      streams: [{ key: 1, service: 'chat' }],
    },
    {
      kind,
      content: StreamOriginContent.Questions,
      replyTo,
      routes: 2 ** 32 - 1,
      streams: [{ key: 1, service: 'chat' }],
    },
    {
      kind,
      content: StreamOriginContent.Answers,
      sender: 'a',
      streams: [
        { key: 1, answer: { kind: OriginAnswerKind.Known, version: undefined } },
        { key: 2, answer: { kind: OriginAnswerKind.SettledSole, version: '1' } },
        { key: 3, answer: { kind: OriginAnswerKind.Mixed } },
      ],
    },
  ])('is the same after decoding (%#)', (message) => {
    expect(decodeStreamOrigin(streamOriginElements(message).slice(1))).toEqual(message);
  });

  test.each([
    [[]],
    [[9, [], []]],
    [[0, ['1'], [1]]],
    [[0, ['1'], [1, 1]]],
    [[0, ['1'], [-1, 0]]],
    [[0, ['1'], [1.5, 0]]],
    [[0, ['1'.repeat(257)], [1, 0]]],
    [[0, ['1'], Array.from({ length: 194 }, () => 0)]],
    [[1, ['chat'], [1, -1], '127.0.0.1', 7000]],
    [[1, [null], [1, 0], '127.0.0.1', 7000]],
    [[1, ['chat'], [1, 0], 'host.example', 7000]],
    [[1, ['chat'], [1, 0], '127.0.0.1', 0]],
    [[1, ['chat'], [1, 0], '127.0.0.1', 7000, -1]],
    [[1, ['chat'], [1, 0], '127.0.0.1', 7000, 'routes']],
    [[2, ['1'], [1, 0, -1], 'a']],
    [[2, ['1'], [1, 6, 0], 'a']],
    [[2, ['1'], [1, 0, 0]]],
  ])('is dropped when malformed: %j', (fields) => {
    expect(decodeStreamOrigin(fields)).toBeUndefined();
  });
});
