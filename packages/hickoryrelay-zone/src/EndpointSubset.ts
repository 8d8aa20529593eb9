import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';

const FNV_OFFSET = 0x81_1c_9d_c5;
const FNV_PRIME = 0x01_00_01_93;

/** A 32-bit hash with well-mixed bits (FNV-1a with a final mix), for placement only. */
export function placementHash(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85_eb_ca_6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2_b2_ae_35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** How many endpoints an instance uses. */
export interface SubsetSize {
  readonly total: number;
  /** Places kept for other zones, so that there is somewhere to go when the own zone is full. */
  readonly otherZones: number;
}

export const DEFAULT_SUBSET_SIZE: SubsetSize = { total: 24, otherZones: 6 };

/**
 * Chooses the endpoints that an instance uses, by rendezvous hashing: an endpoint that comes or
 * goes changes one place. Endpoints of the own zone come first.
 */
export class EndpointSubset {
  private readonly instance: string;

  private readonly ownZone: string;

  constructor(instance: string, ownZone: string) {
    this.instance = instance;
    this.ownZone = ownZone;
  }

  choose(endpoints: Iterable<Endpoint>, size: SubsetSize): Endpoint[] {
    const own: [number, Endpoint][] = [];
    const others: [number, Endpoint][] = [];
    for (const endpoint of endpoints) {
      const weight = placementHash(`${this.instance}\n${endpoint.identifier}`);
      (endpoint.location.zone === this.ownZone ? own : others).push([weight, endpoint]);
    }
    const otherPlaces = Math.max(Math.min(size.otherZones, others.length), size.total - own.length);
    return [
      ...EndpointSubset.highest(own, size.total - Math.min(otherPlaces, others.length)),
      ...EndpointSubset.highest(others, otherPlaces),
    ];
  }

  private static highest(weighed: [number, Endpoint][], count: number): Endpoint[] {
    return weighed
      .sort(
        (left, right) => right[0] - left[0] || (left[1].identifier < right[1].identifier ? -1 : 1),
      )
      .slice(0, count)
      .map(([, endpoint]) => endpoint);
  }
}
