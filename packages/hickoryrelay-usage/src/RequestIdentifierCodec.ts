import type { WireIdentifier } from 'hickoryrelay-link/PeerMessages';

const HEXADECIMAL = /^(?:[0-9a-f]{2})+$/u;

/** Encodes hexadecimal identifiers as bytes, which halves their size. */
export function encodeIdentifier(identifier: string): WireIdentifier {
  return HEXADECIMAL.test(identifier) ? Buffer.from(identifier, 'hex') : identifier;
}

export function decodeIdentifier(identifier: WireIdentifier): string {
  return typeof identifier === 'string' ? identifier : Buffer.from(identifier).toString('hex');
}
