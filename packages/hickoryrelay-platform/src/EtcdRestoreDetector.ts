import type { EtcdHeader } from './EtcdCodec.js';
import type { StoreEra } from './StoreEra.js';

/** What the revision in a response proves about writes that were acknowledged before its request. */
export const RevisionProof = {
  /** The revision is that of the member that responds, which may be behind the others. */
  None: 'none',
  /** The response includes all of them, so that its revision is not lower than theirs. */
  NotLower: 'not-lower',
  /** The response is to a write, which has a higher revision than they have. */
  Higher: 'higher',
} as const;

export type RevisionProof = (typeof RevisionProof)[keyof typeof RevisionProof];

/** What the responses received so far have shown of the current era. */
export interface ReceivedState {
  readonly era: number;
  readonly clusterIdentifier: string | undefined;
  /** Highest revision in a linearizable response. */
  readonly revision: number;
  /** Highest raft term by member; the term of a member never falls. */
  readonly raftTerms: ReadonlyMap<string, number>;
}

/** A restore of the service, as its responses have shown it. */
export interface ObservedRestore {
  readonly era: number;
  readonly clusterBefore: string | undefined;
  readonly clusterAfter: string | undefined;
  readonly revisionBefore: number;
  readonly revisionAfter: number;
}

/**
 * Recognizes from the headers of etcd's responses that the cluster has been restored from an older
 * copy: another cluster identifier, a revision that goes back in a linearizable response, or a lower
 * raft term of a member. etcd states no era, so eras are counted here, from 0. The count is local to this
 * client and must not be sent to others.
 *
 * Responses may overtake each other, so a response is compared with what had been received before its
 * request was sent. A restored cluster that keeps its identifier and has passed the last known revision
 * again before the next response is not recognized.
 */
export class EtcdRestoreDetector {
  private readonly era: StoreEra;

  private readonly observers = new Set<(restore: ObservedRestore) => void>();

  private state: ReceivedState = {
    era: 0,
    clusterIdentifier: undefined,
    revision: 0,
    raftTerms: new Map(),
  };

  constructor(era: StoreEra) {
    this.era = era;
  }

  /** The state to pass to `observe` with the response to a request that is sent now. */
  get received(): ReceivedState {
    return this.state;
  }

  /**
   * Records a response. Returns its era, or undefined if the service was restored while the request
   * was under way and the response may be from either side of the restore.
   */
  observe(
    header: EtcdHeader | undefined,
    atRequest: ReceivedState,
    proof: RevisionProof,
  ): number | undefined {
    const cluster = header?.cluster_id;
    const { era, clusterIdentifier } = this.state;
    const isOtherCluster =
      cluster !== undefined && clusterIdentifier !== undefined && cluster !== clusterIdentifier;
    if (atRequest.era !== era) {
      const isIdentified = cluster !== undefined && cluster !== atRequest.clusterIdentifier;
      return isIdentified && !isOtherCluster ? era : undefined;
    }
    if (isOtherCluster && atRequest.clusterIdentifier === undefined) {
      return undefined;
    }
    const isRestored =
      isOtherCluster ||
      this.hasRevisionGoneBack(header, atRequest, proof) ||
      this.hasLowerTerm(header, atRequest);
    if (isRestored) {
      this.beginEra(header ?? {});
    } else {
      this.record(header ?? {}, proof !== RevisionProof.None);
      this.era.observe(era);
    }
    return this.state.era;
  }

  /** Calls the observer with each restore. Returns the function that removes it. */
  onRestore(observer: (restore: ObservedRestore) => void): () => void {
    this.observers.add(observer);
    return () => this.observers.delete(observer);
  }

  private hasRevisionGoneBack(
    header: EtcdHeader | undefined,
    { revision }: ReceivedState,
    proof: RevisionProof,
  ): boolean {
    if (proof === RevisionProof.None || header?.revision === undefined) {
      return false;
    }
    const minimum = proof === RevisionProof.Higher ? revision + 1 : revision;
    return Number(header.revision) < minimum;
  }

  private hasLowerTerm(header: EtcdHeader | undefined, { raftTerms }: ReceivedState): boolean {
    const known = raftTerms.get(header?.member_id ?? '') ?? 0;
    return header?.raft_term !== undefined && Number(header.raft_term) < known;
  }

  private beginEra(header: EtcdHeader): void {
    const before = this.state;
    this.state = {
      era: before.era + 1,
      clusterIdentifier: header.cluster_id,
      revision: 0,
      raftTerms: new Map(),
    };
    this.record(header, true);
    this.era.observe(this.state.era);
    const restore: ObservedRestore = {
      era: this.state.era,
      clusterBefore: before.clusterIdentifier,
      clusterAfter: header.cluster_id,
      revisionBefore: before.revision,
      revisionAfter: Number(header.revision ?? 0),
    };
    [...this.observers].forEach((observer) => observer(restore));
  }

  private record(header: EtcdHeader, isLinearizable: boolean): void {
    const { era, raftTerms, revision } = this.state;
    const member = header.member_id ?? '';
    const term = Number(header.raft_term ?? 0);
    this.state = {
      era,
      clusterIdentifier: header.cluster_id ?? this.state.clusterIdentifier,
      revision: isLinearizable ? Math.max(revision, Number(header.revision ?? 0)) : revision,
      raftTerms:
        term > (raftTerms.get(member) ?? 0) ? new Map(raftTerms).set(member, term) : raftTerms,
    };
  }
}
