import { z } from 'zod';
import { invariant } from 'hickoryrelay/Invariant';

import { assertWellFormed, byteString, rowsOf } from './CompactListUtils.js';
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

const NAME_LENGTH = 256;
const IDENTIFIER_LENGTH = 256;
const LIST_LENGTH = 100_000;

/** Account, class, subject, endpoint and prompt tokens. */
const ROW_LENGTH = 5;
/** Position of the record, completion tokens and window. */
const FIGURES_LENGTH = 3;
const CLOSE_LENGTH = 3;

const name = z.string().max(NAME_LENGTH);
const count = z.number().int().nonnegative();
const counts = z.array(count).max(ROW_LENGTH * LIST_LENGTH);
const differences = z.array(z.number().int()).max(CLOSE_LENGTH * LIST_LENGTH);
const head = z.union([z.string().max(IDENTIFIER_LENGTH), byteString(IDENTIFIER_LENGTH - 1)]);

const layouts = z.union([
  z.tuple([
    ...([z.literal(MessageLayout.UsageOpen), count] as const),
    /** Index and name in turn. */
    z.array(z.union([count, name])).max(2 * LIST_LENGTH),
    /** Runs of sequences: distance from the end of the run before, and length. */
    differences,
    /** Identifiers as text, or without their last byte. */
    z.array(head).max(LIST_LENGTH),
    /** Last byte of each identifier. */
    byteString(LIST_LENGTH),
    /** Index of the head of each identifier; empty if there is one head for all. */
    counts,
    counts,
    /** Figures of the records that have any beyond the prompt tokens. */
    counts,
  ]),
  z.tuple([
    z.literal(MessageLayout.UsageProgress),
    /** Difference to the sequence before, and completion tokens. */
    differences,
    /** End and gaps of the counted mark. */
    counts.min(1).optional(),
  ]),
  /** Number, window and entries: difference to the sequence before, prompt and completion tokens. */
  z.tuple([z.literal(MessageLayout.UsageClose), count, count, differences]),
  z.tuple([z.literal(MessageLayout.UsageAcknowledged)], count),
  z.tuple([z.literal(MessageLayout.UsageAcknowledgedOther), name], count),
]);

type EncodedUsage = z.output<typeof layouts>;
type EncodedOpening = Extract<
  EncodedUsage,
  readonly [typeof MessageLayout.UsageOpen, ...unknown[]]
>;
type Opening = Extract<PeerMessage, { type: 'usage-open' }>;

/** The usage messages that are sent as lists. */
export type CompactUsageMessage = Extract<
  PeerMessage,
  { type: 'usage-open' | 'usage-progress' | 'usage-close' | 'usage-acknowledged' }
>;

function encodedRuns(sequences: readonly number[]): number[] {
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

function decodedRuns(runs: readonly number[], expected: number): number[] {
  const sequences: number[] = [];
  let position = 0;
  for (const [distance = 0, length = 0] of rowsOf(runs, 2)) {
    position += distance;
    assertWellFormed(position >= 0 && length > 0, 'a run of sequences is not valid');
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

/** Replaces the first column, of sequences, by differences to the row before. */
function encodedDifferences(rows: readonly (readonly number[])[]): number[] {
  let previous = 0;
  return rows.flatMap(([sequence = 0, ...figures]) => {
    const difference = sequence - previous;
    previous = sequence;
    return [difference, ...figures];
  });
}

function decodedDifferences(flat: readonly number[], length: number): number[][] {
  let sequence = 0;
  return rowsOf(flat, length).map(([difference = 0, ...figures]) => {
    sequence += difference;
    assertWellFormed(Number.isSafeInteger(sequence) && sequence >= 0, 'a sequence is out of range');
    assertWellFormed(
      figures.every((figure) => figure >= 0),
      'a figure is negative',
    );
    return [sequence, ...figures];
  });
}

/**
 * Identifiers of one instance differ in the last byte for many calls in a row, so the heads are
 * listed once.
 */
function encodedIdentifiers(
  identifiers: readonly WireIdentifier[],
): [heads: (string | Uint8Array)[], tails: Uint8Array, headIndexes: number[]] {
  const indexes = new Map<string, number>();
  const heads: (string | Uint8Array)[] = [];
  const tails = new Uint8Array(identifiers.length);
  const headIndexes = identifiers.map((identifier, position) => {
    const isText = typeof identifier === 'string';
    invariant(isText || identifier.length > 0, 'an identifier has no bytes');
    const part = isText ? identifier : identifier.subarray(0, -1);
    const key = isText ? `text ${identifier}` : `bytes ${Buffer.from(part).toString('hex')}`;
    const index = indexes.get(key) ?? heads.length;
    if (index === heads.length) {
      heads.push(part);
      indexes.set(key, index);
    }
    tails[position] = isText ? 0 : (identifier.at(-1) ?? 0);
    return index;
  });
  return [heads, tails, heads.length === 1 ? [] : headIndexes];
}

function decodedIdentifiers([, , , , heads, tails, headIndexes]: EncodedOpening): WireIdentifier[] {
  const isShared = heads.length === 1 && headIndexes.length === 0;
  assertWellFormed(isShared || headIndexes.length === tails.length, 'identifiers lack their heads');
  return Array.from(tails, (tail, position) => {
    const part = heads[isShared ? 0 : (headIndexes[position] ?? heads.length)];
    assertWellFormed(part !== undefined, 'an identifier has an unknown head');
    assertWellFormed(typeof part !== 'string' || tail === 0, 'a text identifier has a last byte');
    return typeof part === 'string' ? part : Uint8Array.of(...part, tail);
  });
}

function encodedOpening({ number, names, records }: Opening): EncodedOpening {
  return [
    MessageLayout.UsageOpen,
    number,
    names.flat(),
    encodedRuns(records.map(([sequence]) => sequence)),
    ...encodedIdentifiers(records.map(([, identifier]) => identifier)),
    records.flatMap(([, , ...figures]) => figures.slice(0, ROW_LENGTH)),
    records.flatMap(([, , , , , , , completionTokens, closedWindow], position) =>
      completionTokens === 0 && closedWindow === 0
        ? []
        : [position, completionTokens, closedWindow],
    ),
  ];
}

function decodedName([index, text]: readonly (number | string)[]): UsageName {
  assertWellFormed(typeof index === 'number' && typeof text === 'string', 'a name is not valid');
  return [index, text];
}

function decodedOpening(encoded: EncodedOpening): Opening {
  const [, number, names, runs, , tails, , flat, figures] = encoded;
  const identifiers = decodedIdentifiers(encoded);
  const sequences = decodedRuns(runs, tails.length);
  const rows = rowsOf(flat, ROW_LENGTH);
  assertWellFormed(rows.length === tails.length, 'records and identifiers differ in number');
  const listed = rowsOf(figures, FIGURES_LENGTH);
  const byPosition = new Map(listed.map((row) => [row[0] ?? 0, row] as const));
  assertWellFormed(byPosition.size === listed.length, 'two figures of one record');
  assertWellFormed(
    [...byPosition.keys()].every((position) => position < rows.length),
    'figures of an unknown record',
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
  return { type: 'usage-open', number, names: rowsOf(names, 2).map(decodedName), records };
}

/** The form in which a usage message is sent to a receiver. */
export function encodedUsage(
  message: CompactUsageMessage,
  receiver: InstanceIdentity | undefined,
): EncodedUsage {
  switch (message.type) {
    case 'usage-open':
      return encodedOpening(message);
    case 'usage-progress': {
      const { entries, counted } = message;
      const differencesOfEntries = encodedDifferences(entries);
      return counted === undefined
        ? [MessageLayout.UsageProgress, differencesOfEntries]
        : [MessageLayout.UsageProgress, differencesOfEntries, [counted.upTo, ...counted.gaps]];
    }
    case 'usage-close':
      return [
        ...([MessageLayout.UsageClose, message.number, message.window] as const),
        encodedDifferences(message.entries),
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
export function decodedUsage(
  encoded: unknown,
  receiver: InstanceIdentity | undefined,
): CompactUsageMessage {
  const message = layouts.parse(encoded);
  switch (message[0]) {
    case MessageLayout.UsageOpen:
      return decodedOpening(message);
    case MessageLayout.UsageProgress: {
      const [, flat, mark] = message;
      const entries = decodedDifferences(flat, 2) as unknown as UsageProgressEntry[];
      const [upTo = 0, ...gaps] = mark ?? [];
      return mark === undefined
        ? { type: 'usage-progress', entries }
        : { type: 'usage-progress', entries, counted: { upTo, gaps: sequenceRuns.parse(gaps) } };
    }
    case MessageLayout.UsageClose: {
      const [, number, window, flat] = message;
      const entries = decodedDifferences(flat, CLOSE_LENGTH) as unknown as UsageCloseEntry[];
      return { type: 'usage-close', number, window, entries };
    }
    case MessageLayout.UsageAcknowledged: {
      assertWellFormed(receiver !== undefined, 'an acknowledgement outside a link');
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
