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

/** Prefix of the keys of registered instances. It sorts between the operator and endpoint keys. */
export const PEERS_PREFIX = 'peers/';

/** Decodes the registration of an instance. Returns undefined for a malformed entry. */
export function decodePeer(text: string): PeerRecord | undefined {
  try {
    const { instance, zone, host, port, cores } = JSON.parse(text) as Partial<PeerRecord>;
    return typeof instance === 'string' &&
      typeof zone === 'string' &&
      typeof host === 'string' &&
      typeof port === 'number'
      ? { instance, zone, host, port, cores: typeof cores === 'number' ? cores : 0 }
      : undefined;
  } catch {
    return undefined;
  }
}
