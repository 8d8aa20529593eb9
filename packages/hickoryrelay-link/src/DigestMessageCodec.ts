import { z } from 'zod';
import { invariant } from 'hickoryrelay/Invariant';

import { assertWellFormed, byteString, splitIntoRows } from './CompactListUtils.js';
import { MessageLayout } from './MessageLayoutConstants.js';

import type { DigestRow, HeartbeatEntry, PeerMessage, WorkTotals } from './PeerMessages.js';

const MAXIMUM_NAME_LENGTH = 128;
const MAXIMUM_LIST_LENGTH = 10_000;
const TAG_BYTES = 4;
const MAXIMUM_TAG = 0xff_ff_ff_ff;
const ADDRESS_BYTES = 4;
const URL_BYTES = 6;

/**
 * Work is sent in tenths of a second of engine time, so that four bytes hold more than a year of
 * the engines of one node.
 */
const WORK_UNIT_MILLISECONDS = 100;

const STATES = ['live', 'leaving'] as const;

const HEXADECIMAL_PATTERN = /^(?:[0-9a-f]{2})+$/u;

const IPV4_URL_PATTERN = /^ws:\/\/(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/u;

const name = z.string().max(MAXIMUM_NAME_LENGTH);
const count = z.number().int().nonnegative();
const configurationTag = count.max(MAXIMUM_TAG);
/** `null` stands for the infinite age of a view that was never confirmed. */
const age = count.nullable();
/** Larger totals would not be exact when converted to milliseconds. */
const workUnits = count.max(Math.floor(Number.MAX_SAFE_INTEGER / WORK_UNIT_MILLISECONDS));

const digestRow = z.tuple([
  name.min(1),
  name.min(1),
  z.union([name.min(1), byteString(MAXIMUM_NAME_LENGTH / 2).refine(({ length }) => length > 0)]),
  count,
  z.union([z.literal(0), z.literal(1)]),
  count,
  age,
  /** IPv4 address and port as bytes if the URL consists only of these. */
  z.union([name, byteString(URL_BYTES).refine(({ length }) => length === URL_BYTES)]),
  /** Accounts and their costs, alternating. */
  z.array(z.union([name, count])).max(2 * MAXIMUM_LIST_LENGTH),
  /** Prefill and decode, then the tag and total of each class. */
  z.tuple([workUnits, workUnits], workUnits).refine((work) => work.length % 2 === 0),
]);

const compactMessage = z.union([
  z.tuple([z.literal(MessageLayout.Heartbeat), count, count, count, configurationTag, age]),
  z.tuple([
    z.literal(MessageLayout.Digest),
    z.array(digestRow).max(MAXIMUM_LIST_LENGTH),
    /** Incarnation tags of the heartbeat entries, four bytes each. */
    byteString(TAG_BYTES * MAXIMUM_LIST_LENGTH),
    z.array(count).max(MAXIMUM_LIST_LENGTH),
  ]),
]);

type EncodedDigest = z.output<typeof compactMessage>;
type EncodedRow = z.output<typeof digestRow>;

/** Messages that every instance sends continuously. */
export type DigestMessage = Extract<PeerMessage, { type: 'heartbeat' | 'digest' }>;

const encodeAge = (milliseconds: number) =>
  Number.isFinite(milliseconds) ? Math.ceil(milliseconds) : null;

const decodeAge = (milliseconds: number | null) => milliseconds ?? Number.POSITIVE_INFINITY;

function encodeWork({ prefill, decode, classes }: WorkTotals): [number, number, ...number[]] {
  const toUnits = (milliseconds: number) =>
    Math.max(0, Math.round(milliseconds / WORK_UNIT_MILLISECONDS));
  const encodedClasses = classes.flatMap(([tag, total]) => [tag, toUnits(total)]);
  return [toUnits(prefill), toUnits(decode), ...encodedClasses];
}

function decodeWork([prefill, decode, ...listed]: readonly [
  number,
  number,
  ...number[],
]): WorkTotals {
  return {
    prefill: prefill * WORK_UNIT_MILLISECONDS,
    decode: decode * WORK_UNIT_MILLISECONDS,
    classes: splitIntoRows(listed, 2).map(([tag = 0, units = 0]) => [
      tag,
      units * WORK_UNIT_MILLISECONDS,
    ]),
  };
}

function decodeUrl(bytes: Uint8Array): string {
  const buffer = Buffer.from(bytes);
  const address = buffer.subarray(0, ADDRESS_BYTES).join('.');
  return `ws://${address}:${buffer.readUInt16BE(ADDRESS_BYTES)}`;
}

function encodeUrl(url: string): string | Uint8Array {
  const parts = IPV4_URL_PATTERN.exec(url)?.slice(1).map(Number);
  if (parts === undefined) {
    return url;
  }
  const [port = 0] = parts.slice(ADDRESS_BYTES);
  const bytes = Uint8Array.of(...parts.slice(0, ADDRESS_BYTES), port >> 8, port);
  // Leading zeros and numbers out of range would not survive the round trip.
  return decodeUrl(bytes) === url ? bytes : url;
}

function encodeRow(row: DigestRow): EncodedRow {
  const { incarnation } = row.identity;
  return [
    row.identity.name,
    row.identity.zone,
    HEXADECIMAL_PATTERN.test(incarnation) ? Buffer.from(incarnation, 'hex') : incarnation,
    row.heartbeat,
    row.state === 'live' ? 0 : 1,
    row.revision,
    encodeAge(row.viewAgeMilliseconds),
    encodeUrl(row.peersUrl),
    row.costs.flatMap(([account, cost]) => [account, Math.round(cost)]),
    encodeWork(row.work),
  ];
}

function decodeCost([account, cost]: readonly (string | number)[]): readonly [string, number] {
  assertWellFormed(
    typeof account === 'string' && typeof cost === 'number',
    'a cost entry is invalid',
  );
  return [account, cost];
}

function decodeRow(row: EncodedRow): DigestRow {
  const [rowName, zone, run, heartbeat, state, revision, viewAge, url, costs, work] = row;
  const incarnation = typeof run === 'string' ? run : Buffer.from(run).toString('hex');
  return {
    identity: { name: rowName, zone, incarnation },
    heartbeat,
    state: STATES[state],
    revision,
    viewAgeMilliseconds: decodeAge(viewAge),
    peersUrl: typeof url === 'string' ? url : decodeUrl(url),
    costs: splitIntoRows(costs, 2).map(decodeCost),
    work: decodeWork(work),
  };
}

function encodeTags(heartbeats: readonly HeartbeatEntry[]): Uint8Array {
  const tags = Buffer.alloc(TAG_BYTES * heartbeats.length);
  heartbeats.forEach(([tag], index) => {
    invariant(tag >>> 0 === tag, 'an incarnation tag must be a 32-bit number');
    tags.writeUInt32BE(tag, TAG_BYTES * index);
  });
  return tags;
}

function decodeHeartbeats(
  bytes: Uint8Array,
  heartbeatCounters: readonly number[],
): HeartbeatEntry[] {
  assertWellFormed(
    bytes.length === TAG_BYTES * heartbeatCounters.length,
    'tags and heartbeats differ in number',
  );
  const tags = Buffer.from(bytes);
  return heartbeatCounters.map((heartbeat, index) => [
    tags.readUInt32BE(TAG_BYTES * index),
    heartbeat,
  ]);
}

/** Encodes a heartbeat or digest as a list. */
export function encodeDigestMessage(message: DigestMessage): EncodedDigest {
  if (message.type === 'heartbeat') {
    const { sequence, echo, revision, configurationTag: tag, viewAgeMilliseconds } = message;
    return [MessageLayout.Heartbeat, sequence, echo, revision, tag, encodeAge(viewAgeMilliseconds)];
  }
  const { rows, heartbeats } = message;
  const heartbeatCounters = heartbeats.map(([, heartbeat]) => heartbeat);
  return [MessageLayout.Digest, rows.map(encodeRow), encodeTags(heartbeats), heartbeatCounters];
}

/** Decodes and checks a heartbeat or digest. Throws if it is malformed. */
export function decodeDigestMessage(encoded: unknown): DigestMessage {
  const message = compactMessage.parse(encoded);
  if (message[0] === MessageLayout.Heartbeat) {
    const [, sequence, echo, revision, tag, viewAge] = message;
    return {
      type: 'heartbeat',
      sequence,
      echo,
      revision,
      configurationTag: tag,
      viewAgeMilliseconds: decodeAge(viewAge),
    };
  }
  const [, rows, tags, heartbeatCounters] = message;
  return {
    type: 'digest',
    rows: rows.map(decodeRow),
    heartbeats: decodeHeartbeats(tags, heartbeatCounters),
  };
}
