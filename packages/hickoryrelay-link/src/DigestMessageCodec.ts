import { z } from 'zod';
import { invariant } from 'hickoryrelay/Invariant';

import { assertWellFormed, byteString, rowsOf } from './CompactListUtils.js';
import { MessageLayout } from './MessageLayoutConstants.js';

import type { DigestRow, HeartbeatEntry, PeerMessage, WorkTotals } from './PeerMessages.js';

const NAME_LENGTH = 128;
const LIST_LENGTH = 10_000;
const TAG_BYTES = 4;
const ADDRESS_BYTES = 4;
const URL_BYTES = 6;

/**
 * Work is sent in tenths of a second of engine time: four bytes then hold more than a year of the
 * engines of one node.
 */
const WORK_UNIT_MILLISECONDS = 100;

const STATES = ['live', 'leaving'] as const;

const HEXADECIMAL = /^(?:[0-9a-f]{2})+$/u;

const IPV4_URL = /^ws:\/\/(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/u;

const name = z.string().max(NAME_LENGTH);
const count = z.number().int().nonnegative();
/** `null` stands for a view that was never confirmed, since its age is infinite. */
const age = count.nullable();
/** Larger totals would not be exact in milliseconds. */
const workUnits = count.max(Math.floor(Number.MAX_SAFE_INTEGER / WORK_UNIT_MILLISECONDS));

const digestRow = z.tuple([
  name.min(1),
  name.min(1),
  z.union([name.min(1), byteString(NAME_LENGTH / 2).refine(({ length }) => length > 0)]),
  count,
  z.union([z.literal(0), z.literal(1)]),
  count,
  age,
  /** Address and port as bytes if the URL holds nothing else. */
  z.union([name, byteString(URL_BYTES).refine(({ length }) => length === URL_BYTES)]),
  /** Account and cost in turn. */
  z.array(z.union([name, count])).max(2 * LIST_LENGTH),
  /** Prefill, decode, then tag and total of each class. */
  z.tuple([workUnits, workUnits], workUnits).refine((work) => work.length % 2 === 0),
]);

const layouts = z.union([
  z.tuple([z.literal(MessageLayout.Heartbeat), count, count, count, age]),
  z.tuple([
    z.literal(MessageLayout.Digest),
    z.array(digestRow).max(LIST_LENGTH),
    /** Tags of the heartbeat entries, four bytes each. */
    byteString(TAG_BYTES * LIST_LENGTH),
    z.array(count).max(LIST_LENGTH),
  ]),
]);

type EncodedDigest = z.output<typeof layouts>;
type EncodedRow = z.output<typeof digestRow>;

/** Messages that every instance sends all the time. */
export type DigestMessage = Extract<PeerMessage, { type: 'heartbeat' | 'digest' }>;

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
  return {
    prefill: prefill * WORK_UNIT_MILLISECONDS,
    decode: decode * WORK_UNIT_MILLISECONDS,
    classes: rowsOf(listed, 2).map(([tag = 0, units = 0]) => [tag, units * WORK_UNIT_MILLISECONDS]),
  };
}

function urlOf(bytes: Uint8Array): string {
  const buffer = Buffer.from(bytes);
  const address = buffer.subarray(0, ADDRESS_BYTES).join('.');
  return `ws://${address}:${buffer.readUInt16BE(ADDRESS_BYTES)}`;
}

function encodedUrl(url: string): string | Uint8Array {
  const parts = IPV4_URL.exec(url)?.slice(1).map(Number);
  if (parts === undefined) {
    return url;
  }
  const [port = 0] = parts.slice(ADDRESS_BYTES);
  const bytes = Uint8Array.of(...parts.slice(0, ADDRESS_BYTES), port >> 8, port);
  // Leading zeros and parts out of range would not come back.
  return urlOf(bytes) === url ? bytes : url;
}

function encodedRow(row: DigestRow): EncodedRow {
  const { incarnation } = row.identity;
  return [
    row.identity.name,
    row.identity.zone,
    HEXADECIMAL.test(incarnation) ? Buffer.from(incarnation, 'hex') : incarnation,
    row.heartbeat,
    row.state === 'live' ? 0 : 1,
    row.revision,
    encodedAge(row.viewAgeMilliseconds),
    encodedUrl(row.peersUrl),
    row.costs.flatMap(([account, cost]) => [account, Math.round(cost)]),
    encodedWork(row.work),
  ];
}

function decodedCost([account, cost]: readonly (string | number)[]): readonly [string, number] {
  assertWellFormed(typeof account === 'string' && typeof cost === 'number', 'a cost is not valid');
  return [account, cost];
}

function decodedRow(row: EncodedRow): DigestRow {
  const [rowName, zone, run, heartbeat, state, revision, viewAge, url, costs, work] = row;
  const incarnation = typeof run === 'string' ? run : Buffer.from(run).toString('hex');
  return {
    identity: { name: rowName, zone, incarnation },
    heartbeat,
    state: STATES[state],
    revision,
    viewAgeMilliseconds: decodedAge(viewAge),
    peersUrl: typeof url === 'string' ? url : urlOf(url),
    costs: rowsOf(costs, 2).map(decodedCost),
    work: decodedWork(work),
  };
}

function encodedTags(heartbeats: readonly HeartbeatEntry[]): Uint8Array {
  const tags = Buffer.alloc(TAG_BYTES * heartbeats.length);
  heartbeats.forEach(([tag], index) => {
    invariant(tag >>> 0 === tag, 'a tag of an incarnation has 32 bits');
    tags.writeUInt32BE(tag, TAG_BYTES * index);
  });
  return tags;
}

function decodedHeartbeats(bytes: Uint8Array, beats: readonly number[]): HeartbeatEntry[] {
  assertWellFormed(bytes.length === TAG_BYTES * beats.length, 'tags and heartbeats differ');
  const tags = Buffer.from(bytes);
  return beats.map((heartbeat, index) => [tags.readUInt32BE(TAG_BYTES * index), heartbeat]);
}

/** The form in which a heartbeat or digest is sent. */
export function encodedDigest(message: DigestMessage): EncodedDigest {
  if (message.type === 'heartbeat') {
    const { sequence, echo, revision, viewAgeMilliseconds } = message;
    return [MessageLayout.Heartbeat, sequence, echo, revision, encodedAge(viewAgeMilliseconds)];
  }
  const { rows, heartbeats } = message;
  const beats = heartbeats.map(([, heartbeat]) => heartbeat);
  return [MessageLayout.Digest, rows.map(encodedRow), encodedTags(heartbeats), beats];
}

/** Decodes and checks a heartbeat or digest. Throws if it is malformed. */
export function decodedDigest(encoded: unknown): DigestMessage {
  const message = layouts.parse(encoded);
  if (message[0] === MessageLayout.Heartbeat) {
    const [, sequence, echo, revision, viewAge] = message;
    const viewAgeMilliseconds = decodedAge(viewAge);
    return { type: 'heartbeat', sequence, echo, revision, viewAgeMilliseconds };
  }
  const [, rows, tags, beats] = message;
  return {
    type: 'digest',
    rows: rows.map(decodedRow),
    heartbeats: decodedHeartbeats(tags, beats),
  };
}
