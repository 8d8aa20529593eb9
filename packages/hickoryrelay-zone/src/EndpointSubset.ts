import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';

const FNV_OFFSET = 0x81_1c_9d_c5;
const FNV_PRIME = 0x01_00_01_93;

/** A non-cryptographic 32-bit hash for placement: FNV-1a with a finalizer that mixes the bits. */
export function placementHash(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85_eb_ca_6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2_b2_ae_35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Number of endpoints that an instance uses. */
export interface SubsetSize {
  readonly total: number;
  /** Minimum number of endpoints in other zones, to overflow to when the local zone is full. */
  readonly remoteEndpoints: number;
}

export const DEFAULT_SUBSET_SIZE: SubsetSize = { total: 24, remoteEndpoints: 6 };

/**
 * Chooses the endpoints that an instance uses by rendezvous hashing, so that adding or removing an
 * endpoint changes at most one member of the subset. Endpoints of the local zone come first.
 */
export class EndpointSubset {
  private readonly instance: string;

  private readonly localZone: string;

  constructor(instance: string, localZone: string) {
    this.instance = instance;
    this.localZone = localZone;
  }

  choose(endpoints: Iterable<Endpoint>, size: SubsetSize): Endpoint[] {
    const local: [number, Endpoint][] = [];
    const remote: [number, Endpoint][] = [];
    for (const endpoint of endpoints) {
      const weight = placementHash(`${this.instance}\n${endpoint.identifier}`);
      (endpoint.location.zone === this.localZone ? local : remote).push([weight, endpoint]);
    }
    const remoteCount = Math.max(
      Math.min(size.remoteEndpoints, remote.length),
      size.total - local.length,
    );
    return [
      ...EndpointSubset.highestWeights(local, size.total - Math.min(remoteCount, remote.length)),
      ...EndpointSubset.highestWeights(remote, remoteCount),
    ];
  }

  private static highestWeights(weighted: [number, Endpoint][], count: number): Endpoint[] {
    return weighted
      .sort(
        (left, right) => right[0] - left[0] || (left[1].identifier < right[1].identifier ? -1 : 1),
      )
      .slice(0, count)
      .map(([, endpoint]) => endpoint);
  }
}
