import { hashString, mixHashes } from 'hickoryrelay/RendezvousUtils';

import type { OriginPeer } from './OriginChannel.js';

/** With more peers, a record goes to a few of them. */
const MAXIMUM_DIRECT_PEERS = 16;

/** Instances that hold a record beside the one that began the stream. */
const HOLDERS = 3;

interface WeightedPeer {
  readonly peer: OriginPeer;
  readonly weight: number;
}

/** Selects the instances that hold the record of a stream, by rendezvous hashing of its key. */
export class RecordHolders {
  private readonly zone: string;

  private readonly peers: readonly OriginPeer[];

  /** Hashes of the names of the peers, in the same order. */
  private readonly hashes: readonly number[];

  /** @param zone The zone of this instance. One holder is in another zone if there is one. */
  constructor(zone: string, peers: readonly OriginPeer[]) {
    this.zone = zone;
    this.peers = peers;
    this.hashes = peers.map(({ instance }) => hashString(instance));
  }

  get isDirect(): boolean {
    return this.peers.length <= MAXIMUM_DIRECT_PEERS;
  }

  of(key: number): readonly OriginPeer[] {
    if (this.isDirect) {
      return this.peers;
    }
    const keyHash = key >>> 0;
    let heaviest: WeightedPeer[] = [];
    let remote: WeightedPeer | undefined;
    this.peers.forEach((peer, index) => {
      const weight = mixHashes(keyHash, this.hashes[index] ?? 0);
      if (heaviest.length < HOLDERS || weight > (heaviest.at(-1)?.weight ?? 0)) {
        heaviest = [...heaviest, { peer, weight }]
          .toSorted((left, right) => right.weight - left.weight)
          .slice(0, HOLDERS);
      }
      if (peer.zone !== this.zone && weight > (remote?.weight ?? -1)) {
        remote = { peer, weight };
      }
    });
    const holders = heaviest.map(({ peer }) => peer);
    const isInOneZone = holders.every(({ zone }) => zone === this.zone);
    return isInOneZone && remote !== undefined
      ? [...holders.slice(0, HOLDERS - 1), remote.peer]
      : holders;
  }
}
