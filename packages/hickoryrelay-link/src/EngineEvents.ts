import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

/** What a piece of a model stream carries. */
export const EngineEventKind = {
  /** Text, as one token. */
  Token: 'token',
  /** Neither text nor an end, such as the role of the speaker. */
  Opening: 'opening',
  /** The reason why the text ends. */
  Finish: 'finish',
  Usage: 'usage',
  /** The mark after which nothing follows. */
  Done: 'done',
  /** A comment of the event stream, which engines send to keep connections open. */
  Comment: 'comment',
} as const;

export type EngineEventKind = (typeof EngineEventKind)[keyof typeof EngineEventKind];

/** Token counts that an engine reports for a whole answer. */
export interface EngineUsage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** One piece of a model stream. */
export interface EngineEvent {
  readonly kind: EngineEventKind;
  /** The piece as the engine sent it, with the blank line at its end. */
  readonly bytes: Buffer;
  /** The request that the piece belongs to; undefined on the end mark and on comments. */
  readonly requestIdentifier: string | undefined;
  /** How many tokens of the answer come before this one; undefined if the engine does not say. */
  readonly tokenIndex: number | undefined;
  readonly text: string;
  /** False if the piece has content that a resume by text cannot restore, such as tool calls. */
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

/** Longest event that is accepted. Holds a token with all its log probabilities many times over. */
const LONGEST_EVENT_BYTES = 262_144;

const EVENT_END = Buffer.from('\n\n');
const DATA_PREFIX = 'data:';
const END_MARK = '[DONE]';
const DELTA_TEXT_FIELDS: ReadonlySet<string> = new Set(['content', 'role', 'refusal']);

function violation(peer: string, reason: string): RelayError {
  return new RelayError({ kind: FailureKind.ProtocolViolation, peer, reason });
}

function engineUsage(usage: DecodedEvent['usage']): EngineUsage | undefined {
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
    return engineUsage(decoded.usage) === undefined
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

/** Cuts the body of a model stream into events and decodes them. */
export class EngineEventReader {
  private readonly endpoint: string;

  private rest: Buffer = Buffer.alloc(0);

  constructor(endpoint: string) {
    this.endpoint = endpoint;
  }

  /** Yields the events that are complete with this piece. Throws `protocol-violation`. */
  *read(piece: Buffer): Generator<EngineEvent, void, void> {
    const bytes = this.rest.length === 0 ? piece : Buffer.concat([this.rest, piece]);
    let start = 0;
    let end = bytes.indexOf(EVENT_END);
    while (end >= 0) {
      const next = end + EVENT_END.length;
      yield this.decode(bytes.subarray(start, next));
      start = next;
      end = bytes.indexOf(EVENT_END, start);
    }
    this.rest = bytes.subarray(start);
    if (this.rest.length > LONGEST_EVENT_BYTES) {
      throw violation(this.endpoint, `an event exceeds ${LONGEST_EVENT_BYTES} bytes`);
    }
  }

  private decode(bytes: Buffer): EngineEvent {
    const line = bytes.toString('utf8');
    if (line.startsWith(':')) {
      return EngineEventReader.mark(EngineEventKind.Comment, bytes);
    }
    const data = line.startsWith(DATA_PREFIX) ? line.slice(DATA_PREFIX.length).trim() : '';
    if (data === END_MARK) {
      return EngineEventReader.mark(EngineEventKind.Done, bytes);
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
      usage: engineUsage(decoded.usage),
    };
  }

  private static mark(kind: EngineEventKind, bytes: Buffer): EngineEvent {
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
      // Reported below, without the content of the event.
    }
    throw violation(this.endpoint, 'an event is not a JSON object');
  }
}

/** What the relay reads of an answer that is not streamed. */
export interface WholeAnswer {
  readonly requestIdentifier: string;
  readonly usage: EngineUsage;
}

/** Reads an answer that is not streamed; undefined if the body is not a complete answer. */
export function readWholeAnswer(body: Buffer): WholeAnswer | undefined {
  let decoded: DecodedEvent | null;
  try {
    decoded = JSON.parse(body.toString('utf8')) as DecodedEvent | null;
  } catch {
    return undefined;
  }
  const usage = engineUsage(decoded?.usage);
  const requestIdentifier = decoded?.id;
  return usage !== undefined && typeof requestIdentifier === 'string'
    ? { requestIdentifier, usage }
    : undefined;
}
