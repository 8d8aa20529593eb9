import { isIPv4 } from 'node:net';

import { hasVersion, OriginAnswerKind } from './OriginAnswer.js';

import type { OriginAnswer } from './OriginAnswer.js';
import type { OriginAddress } from './OriginChannel.js';
import type { OriginRecord } from './OriginLedger.js';
import type { SoftwareVersion } from './SoftwareVersion.js';

/** Kind of the message, the first element of its encoding. Differs from those of other messages. */
export const STREAM_ORIGIN_KIND = 12;

/** Contents of a message, the second element of its encoding. */
export const StreamOriginContent = {
  Records: 0,
  Questions: 1,
  Answers: 2,
} as const;

export type StreamOriginContent = (typeof StreamOriginContent)[keyof typeof StreamOriginContent];

/** Keeps most datagrams below 1,400 bytes. */
export const MAXIMUM_ROWS = 96;

const MAXIMUM_TEXT_LENGTH = 256;

const MAXIMUM_PORT = 65_535;

const RECORD_FIELD_COUNT = 2;
const QUESTION_FIELD_COUNT = 2;
const ANSWER_FIELD_COUNT = 3;

/** Index of the text of a row that has none. */
const NO_TEXT = -1;

export interface RecordsMessage {
  readonly kind: typeof STREAM_ORIGIN_KIND;
  readonly content: typeof StreamOriginContent.Records;
  readonly records: readonly OriginRecord[];
}

/** A stream of which the version is asked for. */
export interface AskedStream {
  readonly key: number;
  readonly service: string;
}

export interface QuestionsMessage {
  readonly kind: typeof STREAM_ORIGIN_KIND;
  readonly content: typeof StreamOriginContent.Questions;
  readonly replyTo: OriginAddress;
  /** Fingerprint of the routes for which a history has to be settled. Absent if it counts for any. */
  readonly routes?: number | undefined;
  readonly streams: readonly AskedStream[];
}

/** What an instance knows about a stream. */
export interface AnsweredStream {
  readonly key: number;
  readonly answer: OriginAnswer;
}

export interface AnswersMessage {
  readonly kind: typeof STREAM_ORIGIN_KIND;
  readonly content: typeof StreamOriginContent.Answers;
  /** Name of the instance that answers. */
  readonly sender: string;
  readonly streams: readonly AnsweredStream[];
}

export type StreamOriginMessage = RecordsMessage | QuestionsMessage | AnswersMessage;

/** A list of distinct texts, to which the rows of a message refer by index. */
class TextTable {
  private readonly indexes = new Map<SoftwareVersion, number>();

  indexOf(text: SoftwareVersion): number {
    const index = this.indexes.get(text) ?? this.indexes.size;
    this.indexes.set(text, index);
    return index;
  }

  /** Absent texts become null. */
  get elements(): (string | null)[] {
    return [...this.indexes.keys()].map((text) => text ?? null);
  }
}

/** Returns the elements of the encoding. Rows are flat lists of numbers. */
export function streamOriginElements(message: StreamOriginMessage): unknown[] {
  const texts = new TextTable();
  switch (message.content) {
    case StreamOriginContent.Records: {
      const rows = message.records.flatMap(({ key, version, isConflicting }) => [
        key,
        isConflicting ? NO_TEXT : texts.indexOf(version),
      ]);
      return [message.kind, message.content, texts.elements, rows];
    }
    case StreamOriginContent.Questions: {
      const rows = message.streams.flatMap(({ key, service }) => [key, texts.indexOf(service)]);
      const { routes, replyTo } = message;
      const elements = [texts.elements, rows, replyTo.host, replyTo.port];
      return [
        message.kind,
        message.content,
        ...elements,
        ...(routes === undefined ? [] : [routes]),
      ];
    }
    default: {
      const rows = message.streams.flatMap(({ key, answer }) => [
        key,
        answer.kind,
        hasVersion(answer) ? texts.indexOf(answer.version) : NO_TEXT,
      ]);
      return [message.kind, message.content, texts.elements, rows, message.sender];
    }
  }
}

function isShortText(value: unknown): value is string {
  return typeof value === 'string' && value.length <= MAXIMUM_TEXT_LENGTH;
}

function isFingerprint(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

function decodeTexts(value: unknown): SoftwareVersion[] | undefined {
  const isValid =
    Array.isArray(value) &&
    value.length <= MAXIMUM_ROWS &&
    value.every((text) => text === null || isShortText(text));
  return isValid ? (value as (string | null)[]).map((text) => text ?? undefined) : undefined;
}

/** Decodes the rows, if each begins with a key and ends with the index of a text or `NO_TEXT`. */
function decodeRows(value: unknown, fields: number, texts: number): number[][] | undefined {
  const isList =
    Array.isArray(value) &&
    value.length % fields === 0 &&
    value.length <= MAXIMUM_ROWS * fields &&
    value.every((entry) => Number.isSafeInteger(entry) && entry >= NO_TEXT);
  if (!isList) {
    return undefined;
  }
  const numbers = value as number[];
  const rows: number[][] = [];
  for (let index = 0; index < numbers.length; index += fields) {
    rows.push(numbers.slice(index, index + fields));
  }
  return rows.every((row) => (row[0] ?? NO_TEXT) >= 0 && (row.at(-1) ?? NO_TEXT) < texts)
    ? rows
    : undefined;
}

function decodeRecords(
  texts: readonly SoftwareVersion[],
  encodedRows: unknown,
): RecordsMessage | undefined {
  const rows = decodeRows(encodedRows, RECORD_FIELD_COUNT, texts.length);
  return rows === undefined
    ? undefined
    : {
        kind: STREAM_ORIGIN_KIND,
        content: StreamOriginContent.Records,
        records: rows.map(([key = 0, text = NO_TEXT]) => ({
          key,
          version: texts[text],
          isConflicting: text === NO_TEXT,
        })),
      };
}

function decodeQuestions(
  texts: readonly SoftwareVersion[],
  [encodedRows, host, port, routes]: readonly unknown[],
): QuestionsMessage | undefined {
  const rows = decodeRows(encodedRows, QUESTION_FIELD_COUNT, texts.length);
  const streams = rows?.map(([key = 0, text = NO_TEXT]) => ({ key, service: texts[text] }));
  const isPort = Number.isInteger(port) && Number(port) > 0 && Number(port) <= MAXIMUM_PORT;
  return streams?.every((stream): stream is AskedStream => stream.service !== undefined) === true &&
    isShortText(host) &&
    isIPv4(host) &&
    isPort &&
    (routes === undefined || isFingerprint(routes))
    ? {
        kind: STREAM_ORIGIN_KIND,
        content: StreamOriginContent.Questions,
        replyTo: { host, port: Number(port) },
        routes,
        streams,
      }
    : undefined;
}

function decodeAnswer(
  kind: number,
  text: number,
  texts: readonly SoftwareVersion[],
): OriginAnswer | undefined {
  switch (kind) {
    case OriginAnswerKind.Known:
    case OriginAnswerKind.Sole:
    case OriginAnswerKind.SettledSole:
      return text === NO_TEXT ? undefined : { kind, version: texts[text] };
    case OriginAnswerKind.Conflicting:
    case OriginAnswerKind.Mixed:
    case OriginAnswerKind.Unseen:
      return { kind };
    default:
      return undefined;
  }
}

function decodeAnswers(
  texts: readonly SoftwareVersion[],
  [encodedRows, sender]: readonly unknown[],
): AnswersMessage | undefined {
  const rows = decodeRows(encodedRows, ANSWER_FIELD_COUNT, texts.length);
  const streams = rows?.map(([key = 0, kind = NO_TEXT, text = NO_TEXT]) => ({
    key,
    answer: decodeAnswer(kind, text, texts),
  }));
  return streams?.every((stream): stream is AnsweredStream => stream.answer !== undefined) ===
    true && isShortText(sender)
    ? { kind: STREAM_ORIGIN_KIND, content: StreamOriginContent.Answers, sender, streams }
    : undefined;
}

/** Decodes the elements after the kind. Returns undefined if they are malformed. */
export function decodeStreamOrigin(fields: readonly unknown[]): StreamOriginMessage | undefined {
  const [content, encodedTexts, ...rest] = fields;
  const texts = decodeTexts(encodedTexts);
  if (texts === undefined) {
    return undefined;
  }
  switch (content) {
    case StreamOriginContent.Records:
      return decodeRecords(texts, rest[0]);
    case StreamOriginContent.Questions:
      return decodeQuestions(texts, rest);
    case StreamOriginContent.Answers:
      return decodeAnswers(texts, rest);
    default:
      return undefined;
  }
}
