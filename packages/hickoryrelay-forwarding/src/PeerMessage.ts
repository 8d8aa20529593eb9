import { pack, unpack } from 'msgpackr';

import type { EndpointRecord } from './EndpointRecord.js';
import type { PeerAddress, PeerRecord } from './PeerRecord.js';
import type { SegmentUse } from './PromptCacheDirectory.js';
import type { UsagePart } from './UsagePartWriter.js';
import type { AccountCounts } from './UsageTally.js';
import type { RandomSource } from 'hickoryrelay/RandomSource';

/** Messages between instances. The value is the first number of the encoded message. */
export const PeerMessageKind = {
  /** The load of one instance, told to all others. */
  Load: 1,
  /** The load of one instance, told to the relay of its zone. */
  LoadReport: 2,
  /** The load of all instances, told by the relay to the instances of its zone. */
  LoadDigest: 3,
  /** The load of all instances of a zone, told by its relay to the relays of other zones. */
  ZoneLoad: 4,
  /** Asks the relay of the zone what has changed in the store. */
  ViewQuestion: 5,
  ViewAnswer: 6,
  /** Counts that the relay of the zone writes to the store. */
  UsagePartReport: 7,
  /** The counts of a report are stored, or kept where they were handed over. */
  UsagePartStored: 8,
  /** Counts of an instance that stops without the store, for another one to write. */
  UsagePartHandOver: 9,
} as const;

export type PeerMessageKind = (typeof PeerMessageKind)[keyof typeof PeerMessageKind];

type LoadKind =
  | typeof PeerMessageKind.Load
  | typeof PeerMessageKind.LoadReport
  | typeof PeerMessageKind.LoadDigest
  | typeof PeerMessageKind.ZoneLoad;

/** What is under way at one endpoint. */
export interface EndpointLoad {
  /** Hash of the endpoint's incarnation. */
  readonly endpoint: number;
  readonly running: number;
  /** Prompt tokens that are read for requests that can still be on time. */
  readonly readingTokens: number;
  /** Prompt tokens that are read for requests that will be late. */
  readonly lateTokens: number;
}

/** A use with the instance that told of it first. */
export interface ToldUse extends SegmentUse {
  /** Hash of the instance's name. */
  readonly teller: number;
}

/** Load on endpoints, and which parts of prompts were read where. */
export interface LoadMessage {
  readonly kind: LoadKind;
  /** Name of the instance that sends. */
  readonly sender: string;
  readonly loads: readonly EndpointLoad[];
  /** Uses since the last message. */
  readonly uses: readonly ToldUse[];
}

/** Asks for what has changed since a revision of the store. */
export interface ViewQuestion {
  readonly kind: typeof PeerMessageKind.ViewQuestion;
  readonly asker: PeerAddress;
  /** Number of the question, which the answer repeats. */
  readonly number: number;
  readonly sinceRevision: number;
}

/** Records that have changed, and the keys of those that are gone. */
export interface RecordChanges<Entry> {
  readonly changed: readonly Entry[];
  readonly removed: readonly string[];
}

/** What has changed in the store since the revision of the question. */
export interface ViewChanges {
  /** Revision up to which the changes go. */
  readonly revision: number;
  /** Time between the request of the reading and this answer, in milliseconds. */
  readonly ageMilliseconds: number;
  /** Undefined while the operator has written none. */
  readonly configurationVersion: number | undefined;
  /** True if an instance holds the authority over the duties. */
  readonly isAuthorityHeld: boolean;
  readonly endpoints: RecordChanges<EndpointRecord>;
  readonly peers: RecordChanges<PeerRecord>;
}

/** The answer to a question. */
export interface ViewAnswer {
  readonly kind: typeof PeerMessageKind.ViewAnswer;
  readonly sender: string;
  readonly number: number;
  /** Undefined if the relay cannot tell; then the asker reads the store itself. */
  readonly changes: ViewChanges | undefined;
}

/** Counts of an instance for its relay, or for another instance that writes them when it can. */
export interface UsagePartReport {
  readonly kind: typeof PeerMessageKind.UsagePartReport | typeof PeerMessageKind.UsagePartHandOver;
  readonly reporter: PeerAddress;
  /** Number of the report, which the confirmation repeats. */
  readonly number: number;
  readonly part: UsagePart;
}

/** Confirms a report. */
export interface UsagePartStored {
  readonly kind: typeof PeerMessageKind.UsagePartStored;
  readonly number: number;
}

export type PeerMessage =
  LoadMessage | ViewQuestion | ViewAnswer | UsagePartReport | UsagePartStored;

const NUMBER_LIMIT = 2 ** 32;

/**
 * Draws the number of a question or a report. Counting from one would let an answer that was held up
 * on the way, to the same instance before its restart, pass for the answer to a new question.
 */
export function drawMessageNumber(random: RandomSource): number {
  return random.integerBelow(NUMBER_LIMIT);
}

const LOAD_FIELDS = 4;
const USE_FIELDS = 5;

function encodeLoad({ kind, sender, loads, uses }: LoadMessage): unknown[] {
  return [
    kind,
    sender,
    loads.flatMap(({ endpoint, running, readingTokens, lateTokens }) => [
      endpoint,
      running,
      readingTokens,
      lateTokens,
    ]),
    uses.flatMap(({ engine, segment, sharedTokens, ownTokens, teller }) => [
      engine,
      segment,
      sharedTokens,
      ownTokens,
      teller,
    ]),
  ];
}

/** Encodes a message. Load is frequent, so it is written as flat lists of numbers. */
export function encodePeerMessage(message: PeerMessage): Buffer {
  switch (message.kind) {
    case PeerMessageKind.ViewQuestion: {
      const { kind, asker, number, sinceRevision } = message;
      return pack([kind, asker.host, asker.port, number, sinceRevision]);
    }
    case PeerMessageKind.ViewAnswer: {
      const { kind, sender, number, changes } = message;
      return pack([kind, sender, number, changes]);
    }
    case PeerMessageKind.UsagePartReport:
    case PeerMessageKind.UsagePartHandOver: {
      const { kind, reporter, number, part } = message;
      const { window, incarnation, counts, isFinal } = part;
      const { host, port } = reporter;
      return pack([kind, host, port, number, window, incarnation, counts, isFinal]);
    }
    case PeerMessageKind.UsagePartStored:
      return pack([message.kind, message.number]);
    default:
      return pack(encodeLoad(message));
  }
}

function isNumberList(value: unknown, fields: number): value is number[] {
  return (
    Array.isArray(value) &&
    value.length % fields === 0 &&
    value.every((entry) => typeof entry === 'number' && entry >= 0)
  );
}

function* rowsOf(numbers: readonly number[], fields: number): Generator<number[], void, void> {
  for (let index = 0; index < numbers.length; index += fields) {
    yield numbers.slice(index, index + fields);
  }
}

function decodeLoad(kind: LoadKind, fields: readonly unknown[]): LoadMessage | undefined {
  const [sender, loads, uses] = fields;
  if (
    typeof sender !== 'string' ||
    !isNumberList(loads, LOAD_FIELDS) ||
    !isNumberList(uses, USE_FIELDS)
  ) {
    return undefined;
  }
  return {
    kind,
    sender,
    loads: [...rowsOf(loads, LOAD_FIELDS)].map(
      ([endpoint = 0, running = 0, readingTokens = 0, lateTokens = 0]) => ({
        endpoint,
        running,
        readingTokens,
        lateTokens,
      }),
    ),
    uses: [...rowsOf(uses, USE_FIELDS)].map(
      ([engine = 0, segment = 0, sharedTokens = 0, ownTokens = 0, teller = 0]) => ({
        engine,
        segment,
        sharedTokens,
        ownTokens,
        teller,
      }),
    ),
  };
}

function decodeQuestion(fields: readonly unknown[]): ViewQuestion | undefined {
  const [host, port, number, sinceRevision] = fields;
  if (
    typeof host !== 'string' ||
    typeof port !== 'number' ||
    typeof number !== 'number' ||
    typeof sinceRevision !== 'number'
  ) {
    return undefined;
  }
  return { kind: PeerMessageKind.ViewQuestion, asker: { host, port }, number, sinceRevision };
}

function isRecordChanges(value: unknown): value is RecordChanges<unknown> {
  const { changed, removed } = (value ?? {}) as Partial<RecordChanges<unknown>>;
  return Array.isArray(changed) && Array.isArray(removed);
}

function isViewChanges(value: unknown): value is ViewChanges {
  const changes = (value ?? {}) as Partial<ViewChanges>;
  return (
    typeof changes.revision === 'number' &&
    typeof changes.ageMilliseconds === 'number' &&
    ['number', 'undefined'].includes(typeof changes.configurationVersion) &&
    typeof changes.isAuthorityHeld === 'boolean' &&
    isRecordChanges(changes.endpoints) &&
    isRecordChanges(changes.peers)
  );
}

function decodeAnswer(fields: readonly unknown[]): ViewAnswer | undefined {
  const [sender, number, changes] = fields;
  if (typeof sender !== 'string' || typeof number !== 'number') {
    return undefined;
  }
  return {
    kind: PeerMessageKind.ViewAnswer,
    sender,
    number,
    changes: isViewChanges(changes) ? changes : undefined,
  };
}

function decodeUsagePart(
  kind: UsagePartReport['kind'],
  fields: readonly unknown[],
): UsagePartReport | undefined {
  const [host, port, number, window, incarnation, counts, isFinal] = fields;
  if (
    typeof host !== 'string' ||
    typeof port !== 'number' ||
    typeof number !== 'number' ||
    typeof window !== 'number' ||
    typeof incarnation !== 'string' ||
    typeof counts !== 'object' ||
    counts === null ||
    typeof isFinal !== 'boolean'
  ) {
    return undefined;
  }
  return {
    kind,
    reporter: { host, port },
    number,
    part: { window, incarnation, counts: counts as AccountCounts, isFinal },
  };
}

function decodeStored([number]: readonly unknown[]): UsagePartStored | undefined {
  return typeof number === 'number' ? { kind: PeerMessageKind.UsagePartStored, number } : undefined;
}

/** Decodes a message. Undefined if the bytes are not one. */
export function decodePeerMessage(bytes: Buffer): PeerMessage | undefined {
  let list: unknown;
  try {
    list = unpack(bytes);
  } catch {
    return undefined;
  }
  if (!Array.isArray(list)) {
    return undefined;
  }
  const [kind, ...fields] = list as unknown[];
  switch (kind) {
    case PeerMessageKind.Load:
    case PeerMessageKind.LoadReport:
    case PeerMessageKind.LoadDigest:
    case PeerMessageKind.ZoneLoad:
      return decodeLoad(kind, fields);
    case PeerMessageKind.ViewQuestion:
      return decodeQuestion(fields);
    case PeerMessageKind.ViewAnswer:
      return decodeAnswer(fields);
    case PeerMessageKind.UsagePartReport:
    case PeerMessageKind.UsagePartHandOver:
      return decodeUsagePart(kind, fields);
    case PeerMessageKind.UsagePartStored:
      return decodeStored(fields);
    default:
      return undefined;
  }
}
