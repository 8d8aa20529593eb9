import type { ViewSnapshot } from './ConfirmedView.js';
import type { EndpointRecord } from './EndpointRecord.js';
import type { RecordChanges, ViewChanges } from './PeerMessage.js';
import type { PeerRecord } from './PeerRecord.js';
import type { ViewReadResult } from './ViewSource.js';
import type { Clock } from 'hickoryrelay/Clock';

/** Removals that are retained; an instance that needs older ones reads the store itself. */
const MAXIMUM_REMOVALS = 2000;

/** The records of one kind, with the store revision at which each was found changed or removed. */
class RecordChangeLog<Entry> {
  private records = new Map<string, Entry>();

  private readonly changeRevisions = new Map<string, number>();

  private readonly removalRevisions = new Map<string, number>();

  /** Revision since which all removals are retained. */
  private removalsKnownSince = 0;

  /** Applies the records of a snapshot that reflects nothing later than the given revision. */
  apply(records: ReadonlyMap<string, Entry>, revision: number): void {
    for (const [key, entry] of records) {
      if (this.records.get(key) !== entry) {
        this.changeRevisions.set(key, revision);
        this.removalRevisions.delete(key);
      }
    }
    for (const key of this.records.keys()) {
      if (!records.has(key)) {
        this.changeRevisions.delete(key);
        this.removalRevisions.set(key, revision);
      }
    }
    this.records = new Map(records);
    this.evictOldestRemovals();
  }

  /** Changes after a revision. Undefined if removals since then have been evicted. */
  changesSince(revision: number): RecordChanges<Entry> | undefined {
    if (revision < this.removalsKnownSince) {
      return undefined;
    }
    return {
      changed: [...this.records].flatMap(([key, entry]) =>
        (this.changeRevisions.get(key) ?? 0) > revision ? [entry] : [],
      ),
      removed: [...this.removalRevisions].flatMap(([key, at]) => (at > revision ? [key] : [])),
    };
  }

  private evictOldestRemovals(): void {
    for (const [key, at] of this.removalRevisions) {
      if (this.removalRevisions.size <= MAXIMUM_REMOVALS) {
        return;
      }
      this.removalRevisions.delete(key);
      this.removalsKnownSince = at;
    }
  }
}

/**
 * Computes the changes since a store revision for other instances of the zone, from the snapshots
 * that this instance has read. Changes before its first snapshot are unknown, so the result is
 * undefined for revisions before that.
 */
export class ViewRelay {
  /**
   * Includes suspensions, so that a resumed process does not understate the age of its snapshot.
   */
  private readonly clock: Clock;

  private readonly endpoints = new RecordChangeLog<EndpointRecord>();

  private readonly peers = new RecordChangeLog<PeerRecord>();

  private latest: ViewSnapshot | undefined;

  private firstRevision = Number.POSITIVE_INFINITY;

  private revision = 0;

  private requestedAtMilliseconds = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Records a snapshot whose read was requested at the given time. */
  record(
    { snapshot, revision, maximumRevision }: ViewReadResult,
    requestedAtMilliseconds: number,
  ): void {
    this.endpoints.apply(
      new Map(snapshot.endpoints.map((record) => [record.identifier, record])),
      maximumRevision,
    );
    this.peers.apply(new Map(snapshot.peers.map((peer) => [peer.instance, peer])), maximumRevision);
    this.latest = snapshot;
    this.firstRevision = Math.min(this.firstRevision, maximumRevision);
    this.revision = Math.max(this.revision, revision);
    this.requestedAtMilliseconds = Math.max(this.requestedAtMilliseconds, requestedAtMilliseconds);
  }

  /** Changes since a revision. Undefined if the requester has to read the store itself. */
  changesSince(revision: number): ViewChanges | undefined {
    const endpoints = this.endpoints.changesSince(revision);
    const peers = this.peers.changesSince(revision);
    if (
      this.latest === undefined ||
      revision < this.firstRevision ||
      endpoints === undefined ||
      peers === undefined
    ) {
      return undefined;
    }
    return {
      revision: this.revision,
      ageMilliseconds: this.clock.monotonicMilliseconds() - this.requestedAtMilliseconds,
      configurationVersion: this.latest.configuration?.version,
      isAuthorityHeld: this.latest.isAuthorityHeld,
      endpoints,
      peers,
    };
  }
}
