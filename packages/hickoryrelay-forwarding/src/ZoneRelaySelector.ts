import { hashString } from 'hickoryrelay/RendezvousUtils';

import type { PeerRecord } from './PeerRecord.js';

/** Time for which an unresponsive instance is excluded from the selection. */
const SUSPICION_MILLISECONDS = 3000;

/** With fewer instances in a zone, relaying store calls saves little. */
const MINIMUM_SHARING_INSTANCES = 4;

/** Orders the instances of a zone by descending processor cores, ties by a rendezvous hash. */
function rankInstances(zone: string, peers: readonly PeerRecord[]): PeerRecord[] {
  return peers
    .filter((peer) => peer.zone === zone)
    .map((peer) => ({ peer, weight: hashString(`${zone}|${peer.instance}`) }))
    .toSorted((left, right) => right.peer.cores - left.peer.cores || right.weight - left.weight)
    .map(({ peer }) => peer);
}

/**
 * Selects the relay of each zone: the instance that reads the store and aggregates load for the
 * others. Every instance computes the same ranking from the list of peers, without coordination,
 * and skips the instances that it currently suspects to be unreachable.
 */
export class ZoneRelaySelector {
  private readonly selfInstance: string;

  /** Monotonic time until which each suspected instance is excluded. */
  private readonly suspectedUntilMilliseconds = new Map<string, number>();

  constructor(selfInstance: string) {
    this.selfInstance = selfInstance;
  }

  /** The instances of a zone that are not suspected, in order of rank. */
  candidatesOf(zone: string, peers: readonly PeerRecord[], now: number): PeerRecord[] {
    return rankInstances(zone, peers).filter(
      ({ instance }) =>
        instance === this.selfInstance ||
        now >= (this.suspectedUntilMilliseconds.get(instance) ?? 0),
    );
  }

  /** The relay of a zone. Undefined if every known instance of the zone is suspected. */
  relayOf(zone: string, peers: readonly PeerRecord[], now: number): PeerRecord | undefined {
    return this.candidatesOf(zone, peers, now)[0];
  }

  /** The relay of store calls. Undefined in zones where each instance makes its own. */
  storeRelayOf(zone: string, peers: readonly PeerRecord[], now: number): PeerRecord | undefined {
    const isShared = peers.filter((peer) => peer.zone === zone).length >= MINIMUM_SHARING_INSTANCES;
    return isShared ? this.relayOf(zone, peers, now) : undefined;
  }

  /** Excludes an unresponsive instance for a while. */
  suspect(instance: string, now: number): void {
    for (const [suspected, until] of this.suspectedUntilMilliseconds) {
      if (now >= until) {
        this.suspectedUntilMilliseconds.delete(suspected);
      }
    }
    this.suspectedUntilMilliseconds.set(instance, now + SUSPICION_MILLISECONDS);
  }
}
