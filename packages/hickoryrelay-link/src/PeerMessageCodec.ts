import { Packr } from 'msgpackr';
import { z } from 'zod';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { decodedUsage, encodedUsage } from './UsageMessageCodec.js';
import { usageMessages } from './UsageMessageSchemas.js';

import type { DigestRow, InstanceIdentity, PeerMessage, WorkTotals } from './PeerMessages.js';

const NAME_LENGTH = 128;
const LIST_LENGTH = 10_000;

/**
 * Work is sent in tenths of a second of engine time: four bytes then hold more than a year of the
 * engines of one node.
 */
const WORK_UNIT_MILLISECONDS = 100;

const name = z.string().max(NAME_LENGTH);
const count = z.number().int().nonnegative();
const identity = z.strictObject({ name: name.min(1), zone: name.min(1), incarnation: name.min(1) });
const digests = z.array(z.string().max(NAME_LENGTH)).max(LIST_LENGTH);
/** `null` stands for a view that was never confirmed, since its age is infinite. */
const age = z.number().nonnegative().nullable();

const digestRow = z.tuple([
  name.min(1),
  name.min(1),
  name.min(1),
  count,
  z.enum(['live', 'leaving']),
  count,
  age,
  name,
  z.array(z.tuple([name, z.number().nonnegative()])).max(LIST_LENGTH),
  /** Prefill, decode, then tag and total of each class. */
  z.tuple([count, count], count).refine((work) => work.length % 2 === 0),
]);

const encodedMessage = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('hello'), identity, peersUrl: name, revision: count }),
  z.strictObject({ type: z.literal('heartbeat'), body: z.tuple([count, count, count, age]) }),
  z.strictObject({
    type: z.literal('digest'),
    rows: z.array(digestRow).max(LIST_LENGTH),
    heartbeats: z.array(z.tuple([count, count])).max(LIST_LENGTH),
  }),
  z.strictObject({ type: z.literal('configuration-changed'), revision: count }),
  z.strictObject({ type: z.literal('configuration-request'), digests }),
  z.strictObject({
    type: z.literal('configuration-buckets'),
    revision: count,
    digests,
    buckets: z.array(z.tuple([count, z.string()])).max(LIST_LENGTH),
  }),
  ...usageMessages,
  z.strictObject({ type: z.literal('leaving'), identity }),
]);

type EncodedMessage = z.output<typeof encodedMessage>;

const packr = new Packr({ useRecords: false });

const encodedAge = (milliseconds: number) =>
  Number.isFinite(milliseconds) ? Math.ceil(milliseconds) : null;

const decodedAge = (milliseconds: number | null) => milliseconds ?? Number.POSITIVE_INFINITY;

function encodedWork({ prefill, decode, classes }: WorkTotals): [number, number, ...number[]] {
  const units = (milliseconds: number) =>
    Math.max(0, Math.round(milliseconds / WORK_UNIT_MILLISECONDS));
  const listed = classes.flatMap(([tag, total]) => [tag, units(total)]);
  return [units(prefill), units(decode), ...listed];
}

function decodedWork([prefill, decode, ...listed]: readonly [
  number,
  number,
  ...number[],
]): WorkTotals {
  const classes: [number, number][] = [];
  for (let index = 0; index < listed.length; index += 2) {
    classes.push([listed[index] ?? 0, (listed[index + 1] ?? 0) * WORK_UNIT_MILLISECONDS]);
  }
  return {
    prefill: prefill * WORK_UNIT_MILLISECONDS,
    decode: decode * WORK_UNIT_MILLISECONDS,
    classes,
  };
}

function encodedRow(row: DigestRow): z.output<typeof digestRow> {
  return [
    row.identity.name,
    row.identity.zone,
    row.identity.incarnation,
    row.heartbeat,
    row.state,
    row.revision,
    encodedAge(row.viewAgeMilliseconds),
    row.peersUrl,
    row.costs.map(([account, cost]) => [account, Math.round(cost)]),
    encodedWork(row.work),
  ];
}

function decodedRow(row: z.output<typeof digestRow>): DigestRow {
  const [rowName, zone, incarnation, heartbeat, state, revision, viewAge, peersUrl, costs, work] =
    row;
  return {
    identity: { name: rowName, zone, incarnation },
    heartbeat,
    state,
    revision,
    viewAgeMilliseconds: decodedAge(viewAge),
    peersUrl,
    costs,
    work: decodedWork(work),
  };
}

function encodedForm(message: PeerMessage, receiver: InstanceIdentity | undefined): object {
  switch (message.type) {
    case 'heartbeat': {
      const { type, sequence, echo, revision, viewAgeMilliseconds } = message;
      return { type, body: [sequence, echo, revision, encodedAge(viewAgeMilliseconds)] };
    }
    case 'digest':
      return { ...message, rows: message.rows.map(encodedRow) };
    case 'usage-open':
    case 'usage-progress':
    case 'usage-close':
    case 'usage-acknowledged':
      return encodedUsage(message, receiver);
    default:
      return message;
  }
}

function decodedForm(encoded: EncodedMessage): PeerMessage {
  switch (encoded.type) {
    case 'heartbeat': {
      const [sequence, echo, revision, viewAge] = encoded.body;
      const viewAgeMilliseconds = decodedAge(viewAge);
      return { type: encoded.type, sequence, echo, revision, viewAgeMilliseconds };
    }
    case 'digest':
      return { ...encoded, rows: encoded.rows.map(decodedRow) };
    default:
      return encoded;
  }
}

/**
 * Encodes a message. Rows, heartbeats and frequent usage messages are lists, because field names
 * would double their size. What the receiver knows of itself is left out if it is given.
 */
export function encodePeerMessage(message: PeerMessage, receiver?: InstanceIdentity): Uint8Array {
  return packr.pack(encodedForm(message, receiver));
}

/**
 * Decodes and checks a message that came to the receiver. Throws `protocol-violation` if it is
 * malformed or of an unknown layout.
 */
export function decodePeerMessage(
  bytes: Uint8Array,
  peer: string,
  receiver?: InstanceIdentity,
): PeerMessage {
  try {
    const encoded: unknown = packr.unpack(bytes);
    return Array.isArray(encoded)
      ? decodedUsage(encoded, receiver)
      : decodedForm(encodedMessage.parse(encoded));
  } catch (error) {
    throw new RelayError(
      { kind: FailureKind.ProtocolViolation, peer, reason: 'malformed message' },
      error,
    );
  }
}
