import { z } from 'zod';
import { invariant } from 'hickoryrelay/Invariant';

import { assertWellFormed, byteString, splitIntoRows } from './CompactListUtils.js';
import { MessageLayout } from './MessageLayoutConstants.js';
import { sequenceRuns } from './UsageMessageSchemas.js';

import type {
  InstanceIdentity,
  PeerMessage,
  UsageCloseEntry,
  UsageName,
  UsageProgressEntry,
  UsageRecordEntry,
  WireIdentifier,
} from './PeerMessages.js';

const MAXIMUM_NAME_LENGTH = 256;
const MAXIMUM_IDENTIFIER_LENGTH = 256;
const MAXIMUM_LIST_LENGTH = 100_000;

/** Account, class, subject, endpoint and prompt tokens. */
const RECORD_ROW_LENGTH = 5;
/** Position of the record, completion tokens and window. */
const TOTALS_ROW_LENGTH = 3;
const CLOSE_ROW_LENGTH = 3;

const name = z.string().max(MAXIMUM_NAME_LENGTH);
const count = z.number().int().nonnegative();
const counts = z.array(count).max(RECORD_ROW_LENGTH * MAXIMUM_LIST_LENGTH);
const deltas = z.array(z.number().int()).max(CLOSE_ROW_LENGTH * MAXIMUM_LIST_LENGTH);
const identifierPrefix = z.union([
  z.string().max(MAXIMUM_IDENTIFIER_LENGTH),
  byteString(MAXIMUM_IDENTIFIER_LENGTH - 1),
]);

const compactMessage = z.union([
  z.tuple([
    ...([z.literal(MessageLayout.UsageOpen), count] as const),
    /** Indexes and their names, alternating. */
    z.array(z.union([count, name])).max(2 * MAXIMUM_LIST_LENGTH),
    /** Run-length encoded sequences: gap after the previous run, and run length. */
    deltas,
    /** Distinct prefixes of the identifiers: all but the last byte, or a whole text identifier. */
    z.array(identifierPrefix).max(MAXIMUM_LIST_LENGTH),
    /** Last byte of each identifier. */
    byteString(MAXIMUM_LIST_LENGTH),
    /** Index of the prefix of each identifier; empty if all share one prefix. */
    counts,
    counts,
    /** Rows of the records that have completion tokens or are closed. */
    counts,
  ]),
  z.tuple([
    z.literal(MessageLayout.UsageProgress),
    /** Delta to the previous sequence, and completion tokens. */
    deltas,
    /** End and gaps of the counted mark. */
    counts.min(1).optional(),
  ]),
  /** Number, window, and entries of sequence delta, prompt tokens and completion tokens. */
  z.tuple([z.literal(MessageLayout.UsageClose), count, count, deltas]),
  z.tuple([z.literal(MessageLayout.UsageAcknowledged)], count),
  z.tuple([z.literal(MessageLayout.UsageAcknowledgedOther), name], count),
]);

type EncodedUsage = z.output<typeof compactMessage>;
type EncodedUsageOpen = Extract<
  EncodedUsage,
  readonly [typeof MessageLayout.UsageOpen, ...unknown[]]
>;
type UsageOpenMessage = Extract<PeerMessage, { type: 'usage-open' }>;

/** Usage messages that are sent as lists. */
export type CompactUsageMessage = Extract<
  PeerMessage,
  { type: 'usage-open' | 'usage-progress' | 'usage-close' | 'usage-acknowledged' }
>;

function encodeRuns(sequences: readonly number[]): number[] {
  const runs: number[] = [];
  let end = 0;
  for (const sequence of sequences) {
    if (sequence === end && runs.length > 0) {
      runs[runs.length - 1] = (runs.at(-1) ?? 0) + 1;
    } else {
      runs.push(sequence - end, 1);
    }
    end = sequence + 1;
  }
  return runs;
}

function decodeRuns(runs: readonly number[], expected: number): number[] {
  const sequences: number[] = [];
  let position = 0;
  for (const [distance = 0, length = 0] of splitIntoRows(runs, 2)) {
    position += distance;
    assertWellFormed(position >= 0 && length > 0, 'a run of sequences is invalid');
    assertWellFormed(sequences.length + length <= expected, 'more sequences than records');
    for (let index = 0; index < length; index += 1) {
      sequences.push(position + index);
    }
    position += length;
  }
  assertWellFormed(sequences.length === expected, 'fewer sequences than records');
  assertWellFormed(Number.isSafeInteger(position), 'a sequence is out of range');
  return sequences;
}

/** Replaces the sequence in the first column by its delta to the previous row. */
function encodeDeltas(rows: readonly (readonly number[])[]): number[] {
  let previous = 0;
  return rows.flatMap(([sequence = 0, ...tokenCounts]) => {
    const delta = sequence - previous;
    previous = sequence;
    return [delta, ...tokenCounts];
  });
}

function decodeDeltas(flat: readonly number[], length: number): number[][] {
  let sequence = 0;
  return splitIntoRows(flat, length).map(([delta = 0, ...tokenCounts]) => {
    sequence += delta;
    assertWellFormed(Number.isSafeInteger(sequence) && sequence >= 0, 'a sequence is out of range');
    assertWellFormed(
      tokenCounts.every((tokenCount) => tokenCount >= 0),
      'a token count is negative',
    );
    return [sequence, ...tokenCounts];
  });
}

/**
 * Splits off the last byte of each identifier. Consecutive calls of one instance differ only in
 * that byte, so each distinct prefix is listed once.
 */
function encodeIdentifiers(
  identifiers: readonly WireIdentifier[],
): [prefixes: (string | Uint8Array)[], lastBytes: Uint8Array, prefixIndexes: number[]] {
  const indexes = new Map<string, number>();
  const prefixes: (string | Uint8Array)[] = [];
  const lastBytes = new Uint8Array(identifiers.length);
  const prefixIndexes = identifiers.map((identifier, position) => {
    const isText = typeof identifier === 'string';
    invariant(isText || identifier.length > 0, 'an identifier is empty');
    const part = isText ? identifier : identifier.subarray(0, -1);
    const key = isText ? `text ${identifier}` : `bytes ${Buffer.from(part).toString('hex')}`;
    const index = indexes.get(key) ?? prefixes.length;
    if (index === prefixes.length) {
      prefixes.push(part);
      indexes.set(key, index);
    }
    lastBytes[position] = isText ? 0 : (identifier.at(-1) ?? 0);
    return index;
  });
  return [prefixes, lastBytes, prefixes.length === 1 ? [] : prefixIndexes];
}

function decodeIdentifiers([
  ,
  ,
  ,
  ,
  prefixes,
  lastBytes,
  prefixIndexes,
]: EncodedUsageOpen): WireIdentifier[] {
  const hasSharedPrefix = prefixes.length === 1 && prefixIndexes.length === 0;
  assertWellFormed(
    hasSharedPrefix || prefixIndexes.length === lastBytes.length,
    'identifiers and prefix indexes differ in number',
  );
  return Array.from(lastBytes, (lastByte, position) => {
    const part = prefixes[hasSharedPrefix ? 0 : (prefixIndexes[position] ?? prefixes.length)];
    assertWellFormed(part !== undefined, 'an identifier has an unknown prefix');
    assertWellFormed(
      typeof part !== 'string' || lastByte === 0,
      'a text identifier has a last byte',
    );
    return typeof part === 'string' ? part : Uint8Array.of(...part, lastByte);
  });
}

function encodeUsageOpen({ number, names, records }: UsageOpenMessage): EncodedUsageOpen {
  return [
    MessageLayout.UsageOpen,
    number,
    names.flat(),
    encodeRuns(records.map(([sequence]) => sequence)),
    ...encodeIdentifiers(records.map(([, identifier]) => identifier)),
    records.flatMap(([, , ...fields]) => fields.slice(0, RECORD_ROW_LENGTH)),
    records.flatMap(([, , , , , , , completionTokens, closedWindow], position) =>
      completionTokens === 0 && closedWindow === 0
        ? []
        : [position, completionTokens, closedWindow],
    ),
  ];
}

function decodeName([index, text]: readonly (number | string)[]): UsageName {
  assertWellFormed(
    typeof index === 'number' && typeof text === 'string',
    'a name entry is invalid',
  );
  return [index, text];
}

function decodeUsageOpen(encoded: EncodedUsageOpen): UsageOpenMessage {
  const [, number, names, runs, , lastBytes, , flat, totals] = encoded;
  const identifiers = decodeIdentifiers(encoded);
  const sequences = decodeRuns(runs, lastBytes.length);
  const rows = splitIntoRows(flat, RECORD_ROW_LENGTH);
  assertWellFormed(rows.length === lastBytes.length, 'records and identifiers differ in number');
  const totalsRows = splitIntoRows(totals, TOTALS_ROW_LENGTH);
  const byPosition = new Map(totalsRows.map((row) => [row[0] ?? 0, row] as const));
  assertWellFormed(byPosition.size === totalsRows.length, 'two rows of totals for one record');
  assertWellFormed(
    [...byPosition.keys()].every((position) => position < rows.length),
    'totals of an unknown record',
  );
  const records = rows.map((row, position): UsageRecordEntry => {
    const [account = 0, className = 0, subject = 0, endpoint = 0, promptTokens = 0] = row;
    const [, completionTokens = 0, closedWindow = 0] = byPosition.get(position) ?? [];
    return [
      ...([sequences[position] ?? 0, identifiers[position] ?? ''] as const),
      ...([account, className, subject, endpoint] as const),
      ...([promptTokens, completionTokens, closedWindow] as const),
    ];
  });
  return { type: 'usage-open', number, names: splitIntoRows(names, 2).map(decodeName), records };
}

/** Encodes a usage message for a receiver as a list. */
export function encodeUsageMessage(
  message: CompactUsageMessage,
  receiver: InstanceIdentity | undefined,
): EncodedUsage {
  switch (message.type) {
    case 'usage-open':
      return encodeUsageOpen(message);
    case 'usage-progress': {
      const { entries, counted } = message;
      const entryDeltas = encodeDeltas(entries);
      return counted === undefined
        ? [MessageLayout.UsageProgress, entryDeltas]
        : [MessageLayout.UsageProgress, entryDeltas, [counted.upTo, ...counted.gaps]];
    }
    case 'usage-close':
      return [
        ...([MessageLayout.UsageClose, message.number, message.window] as const),
        encodeDeltas(message.entries),
      ];
    default:
      return message.incarnation === receiver?.incarnation
        ? [MessageLayout.UsageAcknowledged, ...message.numbers]
        : [MessageLayout.UsageAcknowledgedOther, message.incarnation, ...message.numbers];
  }
}

/**
 * Decodes and checks a usage message that was sent as a list. Throws if it is malformed or of an
 * unknown layout.
 */
export function decodeUsageMessage(
  encoded: unknown,
  receiver: InstanceIdentity | undefined,
): CompactUsageMessage {
  const message = compactMessage.parse(encoded);
  switch (message[0]) {
    case MessageLayout.UsageOpen:
      return decodeUsageOpen(message);
    case MessageLayout.UsageProgress: {
      const [, flat, mark] = message;
      const entries = decodeDeltas(flat, 2) as unknown as UsageProgressEntry[];
      const [upTo = 0, ...gaps] = mark ?? [];
      return mark === undefined
        ? { type: 'usage-progress', entries }
        : { type: 'usage-progress', entries, counted: { upTo, gaps: sequenceRuns.parse(gaps) } };
    }
    case MessageLayout.UsageClose: {
      const [, number, window, flat] = message;
      const entries = decodeDeltas(flat, CLOSE_ROW_LENGTH) as unknown as UsageCloseEntry[];
      return { type: 'usage-close', number, window, entries };
    }
    case MessageLayout.UsageAcknowledged: {
      assertWellFormed(receiver !== undefined, 'acknowledgement without a known receiver');
      const { incarnation } = receiver;
      const [, ...numbers] = message;
      return { type: 'usage-acknowledged', incarnation, numbers };
    }
    default: {
      const [, incarnation, ...numbers] = message;
      return { type: 'usage-acknowledged', incarnation, numbers };
    }
  }
}
