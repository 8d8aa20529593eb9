import { BLOCK_BYTES } from './BlockServer.js';

/** Which part of a response goes on without end. */
export const EndlessResponseKind = {
  Head: 'head',
  HeaderLines: 'header-lines',
  InterimResponses: 'interim-responses',
  OtherBytes: 'other-bytes',
  Events: 'events',
  PlainBody: 'plain-body',
  PastLength: 'past-length',
  OneByteChunks: 'one-byte-chunks',
  ChunkExtensions: 'chunk-extensions',
  Trailers: 'trailers',
  UnframedBody: 'unframed-body',
  UnframedEvent: 'unframed-event',
  HugeLength: 'huge-length',
  OtherChunkSize: 'other-chunk-size',
  OneChunk: 'one-chunk',
  SmallPieces: 'small-pieces',
  /** An event that begins, after which nothing comes. */
  SilentEvent: 'silent-event',
  /** A sound body, after which nothing comes. */
  SoundBody: 'sound-body',
} as const;

export type EndlessResponseKind = (typeof EndlessResponseKind)[keyof typeof EndlessResponseKind];

const SILENT_EVENT_BYTES = 25_000;

/** Less than what is buffered of a body before it is relayed. */
const SOUND_BODY_BYTES = 60_000;

/** Bytes of a response: a beginning, and a block that is written again and again, unless it is empty. */
export interface EndlessResponse {
  readonly beginning: string;
  readonly block: string;
}

function chunkOf(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function repeat(text: string): string {
  return text.repeat(Math.floor(BLOCK_BYTES / text.length));
}

const OK = 200;

/** A line of a stream, whose event never ends. */
const EVENT_LINE = `data: ${'x'.repeat(57)}\n`;

/** Returns the response of an engine in trouble to the request with this identifier. */
export function endlessResponse(
  kind: EndlessResponseKind,
  identifier: string,
  status = OK,
): EndlessResponse {
  const head = `HTTP/1.1 ${status} S\r\nX-Request-Id: ${identifier}\r\nX-Response-Signature: s\r\n`;
  const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n`;
  const fillerLines = repeat('X-Filler: x\r\n');
  const responses: Readonly<Record<EndlessResponseKind, EndlessResponse>> = {
    [EndlessResponseKind.SilentEvent]: {
      beginning: `${head}Content-Type: text/event-stream\r\n\r\ndata: ${'x'.repeat(SILENT_EVENT_BYTES)}`,
      block: '',
    },
    [EndlessResponseKind.SoundBody]: {
      beginning: `${head}Content-Type: application/json\r\nContent-Length: ${SOUND_BODY_BYTES}\r\n\r\n${'x'.repeat(SOUND_BODY_BYTES)}`,
      block: '',
    },
    [EndlessResponseKind.Head]: { beginning: `${head}X-Filler: `, block: repeat('x') },
    [EndlessResponseKind.HeaderLines]: { beginning: head, block: fillerLines },
    [EndlessResponseKind.InterimResponses]: {
      beginning: '',
      block: repeat('HTTP/1.1 103 Early Hints\r\n\r\n'),
    },
    [EndlessResponseKind.OtherBytes]: { beginning: '', block: repeat('x') },
    [EndlessResponseKind.Events]: {
      beginning: `${head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`,
      block: chunkOf(repeat('data: xxxxxxxx\n\n')),
    },
    [EndlessResponseKind.PlainBody]: {
      beginning: `${head}Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n`,
      block: chunkOf(repeat(' ')),
    },
    [EndlessResponseKind.PastLength]: {
      beginning: `${head}Content-Length: 16\r\n\r\ndata: xxxxxxxx\n\n`,
      block: repeat(' '),
    },
    [EndlessResponseKind.OneByteChunks]: { beginning: chunked, block: repeat(chunkOf(' ')) },
    [EndlessResponseKind.ChunkExtensions]: {
      beginning: `${chunked}1;`,
      block: repeat('x=x;'),
    },
    [EndlessResponseKind.UnframedBody]: { beginning: `${head}\r\n`, block: repeat('x\n') },
    [EndlessResponseKind.UnframedEvent]: {
      beginning: `${head}Content-Type: text/event-stream\r\n\r\ndata: `,
      block: repeat('x'),
    },
    [EndlessResponseKind.HugeLength]: {
      beginning: `${head}Content-Length: 1000000000000\r\n\r\n`,
      block: repeat('x'),
    },
    [EndlessResponseKind.OtherChunkSize]: { beginning: chunked, block: repeat('z') },
    [EndlessResponseKind.OneChunk]: { beginning: `${chunked}ffffffffff\r\n`, block: repeat('x') },
    [EndlessResponseKind.SmallPieces]: {
      beginning: `${head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`,
      block: repeat(chunkOf(EVENT_LINE)),
    },
    [EndlessResponseKind.Trailers]: { beginning: `${chunked}0\r\n`, block: fillerLines },
  };
  return responses[kind];
}
