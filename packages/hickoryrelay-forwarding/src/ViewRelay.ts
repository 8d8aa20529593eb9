import type { ViewSnapshot } from './ConfirmedView.js';
import type { EndpointRecord } from './EndpointRecord.js';
import type { RecordChanges, ViewChanges } from './PeerMessage.js';
import type { PeerRecord } from './PeerRecord.js';
import type { ViewReadResult } from './ViewSource.js';
import type { Clock } from 'hickoryrelay/Clock';

/** Removed entries that are remembered; an asker that needs more reads the store itself. */
const MOST_REMOVALS = 2000;

/** The records of one kind with the readings in which they changed. */
class RecordJournal<Entry> {
  private records = new Map<string, Entry>();

  private readonly changedAt = new Map<string, number>();

  private readonly removedAt = new Map<string, number>();

  /** Revision from which on all removals are known. */
  private removalsSince = 0;

  /** Takes the records of a reading that shows nothing later than the given revision. */
  apply(records: ReadonlyMap<string, Entry>, revision: number): void {
    for (const [key, entry] of records) {
      if (this.records.get(key) !== entry) {
        this.changedAt.set(key, revision);
        this.removedAt.delete(key);
      }
    }
    for (const key of this.records.keys()) {
      if (!records.has(key)) {
        this.changedAt.delete(key);
        this.removedAt.set(key, revision);
      }
    }
    this.records = new Map(records);
    this.forgetOldest();
  }

  /** Undefined if too much has been forgotten to tell. */
  changesSince(revision: number): RecordChanges<Entry> | undefined {
    if (revision < this.removalsSince) {
      return undefined;
    }
    return {
      changed: [...this.records].flatMap(([key, entry]) =>
        (this.changedAt.get(key) ?? 0) > revision ? [entry] : [],
      ),
      removed: [...this.removedAt].flatMap(([key, at]) => (at > revision ? [key] : [])),
    };
  }

  private forgetOldest(): void {
    for (const [key, at] of this.removedAt) {
      if (this.removedAt.size <= MOST_REMOVALS) {
        return;
      }
      this.removedAt.delete(key);
      this.removalsSince = at;
    }
  }
}

/**
 * Answers other instances of the zone what has changed in the store, from the readings of this one.
 * An asker names the revision that it knows. Readings before the first one are not known, so an older
 * revision gets no answer.
 */
export class ViewRelay {
  /** Counts suspensions, so that a paused process does not understate the age of its reading. */
  private readonly clock: Clock;

  private readonly endpoints = new RecordJournal<EndpointRecord>();

  private readonly peers = new RecordJournal<PeerRecord>();

  private latest: ViewSnapshot | undefined;

  private firstRevision = Number.POSITIVE_INFINITY;

  private revision = 0;

  private askedMilliseconds = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Takes a reading that was asked for at the given moment. */
  record(
    { snapshot: reading, revision, maximumRevision: lastRevision }: ViewReadResult,
    askedMilliseconds: number,
  ): void {
    this.endpoints.apply(
      new Map(reading.endpoints.map((record) => [record.identifier, record])),
      lastRevision,
    );
    this.peers.apply(new Map(reading.peers.map((peer) => [peer.instance, peer])), lastRevision);
    this.latest = reading;
    this.firstRevision = Math.min(this.firstRevision, lastRevision);
    this.revision = Math.max(this.revision, revision);
    this.askedMilliseconds = Math.max(this.askedMilliseconds, askedMilliseconds);
  }

  /** What has changed since a revision. Undefined if the asker should read the store itself. */
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
      ageMilliseconds: this.clock.monotonicMilliseconds() - this.askedMilliseconds,
      configurationVersion: this.latest.configuration?.version,
      isAuthorityHeld: this.latest.isAuthorityHeld,
      endpoints,
      peers,
    };
  }
}
