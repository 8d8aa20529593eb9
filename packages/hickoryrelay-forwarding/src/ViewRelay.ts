import { laterRevision, StoreRevision } from 'hickoryrelay-platform/StoreRevision';

import { fingerprintOf } from './ViewFingerprint.js';

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

  private readonly changeRevisions = new Map<string, StoreRevision>();

  private readonly removalRevisions = new Map<string, StoreRevision>();

  /** Revision since which all removals are retained. */
  private removalsKnownSince = StoreRevision.None;

  /** Applies the records of a snapshot that reflects nothing later than the given revision. */
  apply(records: ReadonlyMap<string, Entry>, revision: StoreRevision): void {
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
  changesSince(revision: StoreRevision): RecordChanges<Entry> | undefined {
    if (this.removalsKnownSince.isAfter(revision)) {
      return undefined;
    }
    return {
      changed: [...this.records].flatMap(([key, entry]) =>
        this.changeRevisions.get(key)?.isAfter(revision) === true ? [entry] : [],
      ),
      removed: [...this.removalRevisions].flatMap(([key, at]) =>
        at.isAfter(revision) ? [key] : [],
      ),
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

  private endpoints = new RecordChangeLog<EndpointRecord>();

  private peers = new RecordChangeLog<PeerRecord>();

  private latest: ViewSnapshot | undefined;

  /** Of the latest snapshot; undefined until it is asked for. */
  private fingerprint: string | undefined;

  /** Of the first snapshot of the era; undefined before it. */
  private firstRevision: StoreRevision | undefined;

  private revision = StoreRevision.None;

  private requestedAtMilliseconds = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Records a snapshot whose read was requested at the given time. */
  record(
    { snapshot, revision, maximumRevision }: ViewReadResult,
    requestedAtMilliseconds: number,
  ): void {
    if (revision.era !== this.revision.era) {
      this.forgetEarlierEra();
    }
    this.endpoints.apply(
      new Map(snapshot.endpoints.map((record) => [record.identifier, record])),
      maximumRevision,
    );
    this.peers.apply(new Map(snapshot.peers.map((peer) => [peer.instance, peer])), maximumRevision);
    this.latest = snapshot;
    this.fingerprint = undefined;
    this.firstRevision ??= maximumRevision;
    this.revision = laterRevision(this.revision, revision);
    this.requestedAtMilliseconds = Math.max(this.requestedAtMilliseconds, requestedAtMilliseconds);
  }

  /**
   * Changes since a revision. Undefined if the requester has to read the store itself, as when this instance
   * cannot decode the configuration. A record that
   * was added and removed between two snapshots of this instance is missing among the changes; the
   * fingerprint shows a requester that has it from elsewhere that its list differs.
   */
  changesSince(revision: StoreRevision): ViewChanges | undefined {
    const endpoints = this.endpoints.changesSince(revision);
    const peers = this.peers.changesSince(revision);
    if (
      this.latest === undefined ||
      this.latest.isConfigurationCurrent === false ||
      this.firstRevision === undefined ||
      revision.era !== this.revision.era ||
      this.firstRevision.isAfter(revision) ||
      endpoints === undefined ||
      peers === undefined
    ) {
      return undefined;
    }
    this.fingerprint ??= fingerprintOf(this.latest);
    return {
      revision: this.revision,
      ageMilliseconds: this.clock.monotonicMilliseconds() - this.requestedAtMilliseconds,
      configurationVersion: this.latest.configuration?.version,
      isAuthorityHeld: this.latest.isAuthorityHeld,
      endpoints,
      peers,
      fingerprint: this.fingerprint,
    };
  }

  /** After a restore of the store, changes since revisions of the earlier era are unknown. */
  private forgetEarlierEra(): void {
    this.endpoints = new RecordChangeLog();
    this.peers = new RecordChangeLog();
    this.firstRevision = undefined;
    this.revision = StoreRevision.None;
  }
}
