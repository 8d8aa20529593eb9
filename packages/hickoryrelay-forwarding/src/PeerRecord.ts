import { isIPv4 } from 'node:net';

import { isName, isPort } from './RecordFieldUtils.js';

/** Address at which an instance receives datagrams of other instances. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** The registration of an instance. */
export interface PeerRecord extends PeerAddress {
  readonly instance: string;
  readonly zone: string;
  /** Processor time available to the instance, in cores; 0 if unknown. */
  readonly cores: number;
}

/** Time after which the registration of a stopped instance expires. */
export const PEER_LEASE_MILLISECONDS = 5000;

/** Prefix of the keys of registered instances. It sorts between the operator and endpoint keys. */
export const PEERS_PREFIX = 'peers/';

/** The instance with the most cores is the relay of its zone, so an odd number must not win. */
const MAXIMUM_CORES = 10_000;

/** True if datagrams can be sent to the address. */
export function isPeerAddress(value: unknown): value is PeerAddress {
  const { host, port } = (value ?? {}) as Partial<Record<keyof PeerAddress, unknown>>;
  return typeof host === 'string' && isIPv4(host) && isPort(port);
}

/** True if the instance of a record can be sent messages. */
export function isPeerRecord(value: unknown): value is PeerRecord {
  if (!isPeerAddress(value)) {
    return false;
  }
  const { instance, zone, cores } = value as Partial<Record<keyof PeerRecord, unknown>>;
  return (
    isName(instance) &&
    isName(zone) &&
    typeof cores === 'number' &&
    cores >= 0 &&
    cores <= MAXIMUM_CORES
  );
}

/** Decodes the registration of an instance. Returns undefined for a malformed entry. */
export function decodePeer(text: string): PeerRecord | undefined {
  try {
    const json = JSON.parse(text) as Partial<PeerRecord>;
    const { instance, zone, host, port, cores = 0 } = json;
    const record = { instance, zone, host, port, cores };
    return isPeerRecord(record) ? record : undefined;
  } catch {
    return undefined;
  }
}
