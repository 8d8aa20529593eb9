/** Another instance of the system, as it registered itself. */
export interface PeerRecord {
  readonly instance: string;
  readonly zone: string;
  /** Where it takes load messages. */
  readonly host: string;
  readonly port: number;
}

/** Keys of the registered instances. They lie between those of the operator and the endpoints. */
export const PEERS_PREFIX = 'peers/';

/** Decodes a registered instance. Undefined if the entry cannot be read. */
export function decodePeer(text: string): PeerRecord | undefined {
  try {
    const { instance, zone, host, port } = JSON.parse(text) as Partial<PeerRecord>;
    return typeof instance === 'string' &&
      typeof zone === 'string' &&
      typeof host === 'string' &&
      typeof port === 'number'
      ? { instance, zone, host, port }
      : undefined;
  } catch {
    return undefined;
  }
}
