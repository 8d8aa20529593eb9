import { FailureKind } from 'hickoryrelay/Failure';
import { IncompleteEvent } from 'hickoryrelay/IncompleteEvent';
import { RelayError } from 'hickoryrelay/RelayError';

/** Content of an event of a model stream. */
export const EngineEventKind = {
  /** Text of one token. */
  Token: 'token',
  /** Neither text nor a finish reason, such as the role of the message. */
  Opening: 'opening',
  /** The finish reason. */
  Finish: 'finish',
  Usage: 'usage',
  /** The terminator of the stream, `[DONE]`. */
  Done: 'done',
  /** A comment, which engines send to keep connections open. */
  Comment: 'comment',
} as const;

export type EngineEventKind = (typeof EngineEventKind)[keyof typeof EngineEventKind];

/** Token counts that an engine reports for a complete response. */
export interface EngineUsage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** One event of a model stream. */
export interface EngineEvent {
  readonly kind: EngineEventKind;
  /** The event as the engine sent it, including the blank line at its end. */
  readonly bytes: Buffer;
  /** The request that the event belongs to; undefined for `Done` and `Comment`. */
  readonly requestIdentifier: string | undefined;
  /** Number of tokens of the response before this one; undefined if the engine omits it. */
  readonly tokenIndex: number | undefined;
  readonly text: string;
  /** False if the event has content that resuming by text cannot restore, such as tool calls. */
  readonly isPlainText: boolean;
  readonly usage: EngineUsage | undefined;
}

interface DecodedChoice {
  readonly index?: number;
  readonly text?: string;
  readonly delta?: Readonly<Record<string, unknown>>;
  readonly finish_reason?: string | null;
  readonly logprobs?: unknown;
}

interface DecodedUsage {
  readonly prompt_tokens?: unknown;
  readonly completion_tokens?: unknown;
}

interface DecodedEvent {
  readonly id?: unknown;
  readonly token_index?: unknown;
  readonly choices?: readonly DecodedChoice[];
  readonly usage?: DecodedUsage | null;
}

const EVENT_END = Buffer.from('\n\n');
const [LINE_FEED] = EVENT_END;
const DATA_PREFIX = 'data:';
const DONE_DATA = '[DONE]';
const DELTA_TEXT_FIELDS: ReadonlySet<string> = new Set(['content', 'role', 'refusal']);

function protocolViolation(peer: string, reason: string): RelayError {
  return new RelayError({ kind: FailureKind.ProtocolViolation, peer, reason });
}

function parseUsage(usage: DecodedEvent['usage']): EngineUsage | undefined {
  const promptTokens = usage?.prompt_tokens;
  const completionTokens = usage?.completion_tokens;
  return typeof promptTokens === 'number' && typeof completionTokens === 'number'
    ? { promptTokens, completionTokens }
    : undefined;
}

function textOf(choice: DecodedChoice): string {
  const text = choice.text ?? choice.delta?.content;
  return typeof text === 'string' ? text : '';
}

function isPlainText(choices: readonly DecodedChoice[]): boolean {
  return choices.every(
    ({ index, delta, logprobs }) =>
      (index ?? 0) === 0 &&
      (logprobs === undefined || logprobs === null) &&
      Object.entries(delta ?? {}).every(
        ([name, value]) => value === null || DELTA_TEXT_FIELDS.has(name),
      ),
  );
}

function kindOf(decoded: DecodedEvent, choice: DecodedChoice | undefined): EngineEventKind {
  if (choice === undefined) {
    return parseUsage(decoded.usage) === undefined
      ? EngineEventKind.Opening
      : EngineEventKind.Usage;
  }
  if (choice.finish_reason !== undefined && choice.finish_reason !== null) {
    return EngineEventKind.Finish;
  }
  return textOf(choice) === '' && isPlainText([choice])
    ? EngineEventKind.Opening
    : EngineEventKind.Token;
}

/**
 * Splits the body of a model stream into events and decodes them. Every byte is searched once, and the
 * memory of an event that has not ended is bounded.
 */
export class EngineEventReader {
  private readonly endpoint: string;

  /** The bytes after the last complete event. */
  private readonly incomplete: IncompleteEvent;

  constructor(endpoint: string) {
    this.endpoint = endpoint;
    this.incomplete = new IncompleteEvent(endpoint);
  }

  /** Yields the events that this chunk completes. Throws `protocol-violation`. */
  *read(chunk: Buffer): Generator<EngineEvent, void, void> {
    let start = 0;
    for (const end of this.eventEnds(chunk)) {
      yield this.decode(this.incomplete.complete(chunk.subarray(start, end)));
      start = end;
    }
    this.incomplete.append(chunk.subarray(start));
  }

  /** Yields the index after each event that ends in the chunk. */
  private *eventEnds(chunk: Buffer): Generator<number, void, void> {
    let start = 0;
    if (chunk[0] === LINE_FEED && this.incomplete.bytes.at(-1) === LINE_FEED) {
      start = 1;
      yield start;
    }
    let position = chunk.indexOf(EVENT_END, start);
    while (position >= 0) {
      start = position + EVENT_END.length;
      yield start;
      position = chunk.indexOf(EVENT_END, start);
    }
  }

  private decode(bytes: Buffer): EngineEvent {
    const line = bytes.toString('utf8');
    if (line.startsWith(':')) {
      return EngineEventReader.emptyEvent(EngineEventKind.Comment, bytes);
    }
    const data = line.startsWith(DATA_PREFIX) ? line.slice(DATA_PREFIX.length).trim() : '';
    if (data === DONE_DATA) {
      return EngineEventReader.emptyEvent(EngineEventKind.Done, bytes);
    }
    const decoded = this.parse(data);
    const choices = decoded.choices ?? [];
    const [choice] = choices;
    const tokenIndex = decoded.token_index;
    return {
      kind: kindOf(decoded, choice),
      bytes,
      requestIdentifier: typeof decoded.id === 'string' ? decoded.id : '',
      tokenIndex: typeof tokenIndex === 'number' ? tokenIndex : undefined,
      text: choice === undefined ? '' : textOf(choice),
      isPlainText: isPlainText(choices),
      usage: parseUsage(decoded.usage),
    };
  }

  private static emptyEvent(kind: EngineEventKind, bytes: Buffer): EngineEvent {
    return {
      kind,
      bytes,
      requestIdentifier: undefined,
      tokenIndex: undefined,
      text: '',
      isPlainText: true,
      usage: undefined,
    };
  }

  private parse(data: string): DecodedEvent {
    try {
      const decoded: unknown = JSON.parse(data);
      if (typeof decoded === 'object' && decoded !== null) {
        return decoded;
      }
    } catch {
      // Reported below, without the event's content, which may hold a prompt or a response.
    }
    throw protocolViolation(this.endpoint, 'an event is not a JSON object');
  }
}

/** The fields that the relay needs from a response that is not streamed. */
export interface CompleteResponse {
  readonly requestIdentifier: string;
  readonly usage: EngineUsage;
}

/** Parses a response that is not streamed; undefined if the body is not a complete response. */
export function parseCompleteResponse(body: Buffer): CompleteResponse | undefined {
  let decoded: DecodedEvent | null;
  try {
    decoded = JSON.parse(body.toString('utf8')) as DecodedEvent | null;
  } catch {
    return undefined;
  }
  const usage = parseUsage(decoded?.usage);
  const requestIdentifier = decoded?.id;
  return usage !== undefined && typeof requestIdentifier === 'string'
    ? { requestIdentifier, usage }
    : undefined;
}
