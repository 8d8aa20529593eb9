import { hashString } from 'hickoryrelay/RendezvousUtils';

const LOW_BITS = 2 ** 32;
const HIGH_BITS = 2 ** 21;

/** Returns a 53-bit hash that identifies an attempt of a client at a service. */
export function streamKey(service: string, identifier: string): number {
  const low = hashString(`${service}\n${identifier}`);
  const high = hashString(`${identifier}\n${service}`) % HIGH_BITS;
  return high * LOW_BITS + low;
}
