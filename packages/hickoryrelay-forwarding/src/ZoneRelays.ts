import { hashText } from 'hickoryrelay/RendezvousUtils';

import type { PeerRecord } from './PeerRecord.js';

/** An instance that did not answer is passed over for this time, in milliseconds. */
const SUSPICION_MILLISECONDS = 3000;

/** Below this number of instances in a zone, a relay of calls to the store saves little. */
const FEWEST_SHARING_INSTANCES = 4;

/** Orders the instances of a zone: those with the most processor time first, then by a hash. */
function ranked(zone: string, peers: readonly PeerRecord[]): PeerRecord[] {
  return peers
    .filter((peer) => peer.zone === zone)
    .map((peer) => ({ peer, weight: hashText(`${zone}|${peer.instance}`) }))
    .toSorted((left, right) => right.peer.cores - left.peer.cores || right.weight - left.weight)
    .map(({ peer }) => peer);
}

/**
 * Chooses the instance of each zone that reads the store and gathers load for the others. All
 * instances choose alike without asking each other, and each passes over those that it cannot reach.
 */
export class ZoneRelays {
  private readonly self: string;

  /** Until when an instance is passed over, on the steady clock. */
  private readonly suspects = new Map<string, number>();

  constructor(self: string) {
    this.self = self;
  }

  /** The instances of a zone that are not passed over, the relay first. */
  candidatesOf(zone: string, peers: readonly PeerRecord[], now: number): PeerRecord[] {
    return ranked(zone, peers).filter(
      ({ instance }) => instance === this.self || now >= (this.suspects.get(instance) ?? 0),
    );
  }

  /** The relay of a zone. Undefined if no instance of the zone is known or can be reached. */
  relayOf(zone: string, peers: readonly PeerRecord[], now: number): PeerRecord | undefined {
    return this.candidatesOf(zone, peers, now)[0];
  }

  /** The relay of calls to the store. Undefined where each instance makes its own. */
  sharedRelayOf(zone: string, peers: readonly PeerRecord[], now: number): PeerRecord | undefined {
    const isShared = peers.filter((peer) => peer.zone === zone).length >= FEWEST_SHARING_INSTANCES;
    return isShared ? this.relayOf(zone, peers, now) : undefined;
  }

  /** Passes over an instance that did not answer. */
  suspect(instance: string, now: number): void {
    for (const [known, until] of this.suspects) {
      if (now >= until) {
        this.suspects.delete(known);
      }
    }
    this.suspects.set(instance, now + SUSPICION_MILLISECONDS);
  }
}
