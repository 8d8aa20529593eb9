import { createHash } from 'node:crypto';

import type { ViewSnapshot } from './ConfirmedView.js';
import type { EndpointRecord } from './EndpointRecord.js';
import type { PeerRecord } from './PeerRecord.js';

/** 96 bits in base64; two different lists practically never have the same fingerprint. */
const FINGERPRINT_CHARACTERS = 16;

function endpointFields(record: EndpointRecord): readonly unknown[] {
  return [
    record.identifier,
    record.service,
    record.address,
    record.zone,
    record.slots,
    record.phase,
    record.startedMilliseconds,
    record.stage ?? null,
    record.isReclaimable,
    record.softwareVersion ?? null,
  ];
}

function peerFields({ instance, zone, host, port, cores }: PeerRecord): readonly unknown[] {
  return [instance, zone, host, port, cores];
}

/** The fields of records as text. Records are immutable and shared between snapshots. */
const texts = new WeakMap<object, string>();

function textOf<Entry extends object>(
  record: Entry,
  fieldsOf: (record: Entry) => readonly unknown[],
): string {
  let text = texts.get(record);
  if (text === undefined) {
    text = JSON.stringify(fieldsOf(record));
    texts.set(record, text);
  }
  return text;
}

/**
 * Fingerprint of the endpoints and instances of a snapshot. It does not depend on their order, and two
 * snapshots with the same records have the same one.
 */
export function fingerprintOf({
  endpoints,
  peers,
}: Pick<ViewSnapshot, 'endpoints' | 'peers'>): string {
  const lists = [
    endpoints.map((record) => textOf(record, endpointFields)).sort(),
    peers.map((record) => textOf(record, peerFields)).sort(),
  ];
  const hash = createHash('sha256').update(lists.map((list) => list.join('\n')).join('\n\n'));
  return hash.digest('base64').slice(0, FINGERPRINT_CHARACTERS);
}
