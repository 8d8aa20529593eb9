/** Where an instance takes the datagrams of other instances. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** Another instance of the system, as it registered itself. */
export interface PeerRecord extends PeerAddress {
  readonly instance: string;
  readonly zone: string;
  /** Processor time that the instance has, in cores; 0 if it does not say. */
  readonly cores: number;
}

/** Keys of the registered instances. They lie between those of the operator and the endpoints. */
export const PEERS_PREFIX = 'peers/';

/** Decodes a registered instance. Undefined if the entry cannot be read. */
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
