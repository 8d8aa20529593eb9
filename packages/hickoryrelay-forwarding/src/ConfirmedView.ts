import { EndpointPhase, incarnationKey } from './EndpointRecord.js';
import { PEER_LEASE_MILLISECONDS } from './PeerRecord.js';
import { RestoredEntryFilter } from './RestoredEntryFilter.js';

import type { EndpointRecord } from './EndpointRecord.js';
import type { ForwardingConfiguration } from './ForwardingConfiguration.js';
import type { PeerRecord } from './PeerRecord.js';
import type { Clock } from 'hickoryrelay/Clock';

/**
 * Time for which endpoints missing after a store outage are retained. By the deployment contract,
 * registrations that expired during an outage are restored within two seconds of its end; the other
 * 200 ms cover a registration write that is in progress.
 */
export const REGISTRATION_RECOVERY_MILLISECONDS = 2200;

/** Heartbeat periods without a renewal after which a registration can expire, at the earliest. */
const MINIMUM_MISSED_HEARTBEATS = 2;

/** Heartbeat periods without a renewal after which a registration expires. */
const MAXIMUM_MISSED_HEARTBEATS = 3;

/** The records of one read of the store. */
export interface ViewSnapshot {
  /** Undefined until the operator has written a configuration. */
  readonly configuration: ForwardingConfiguration | undefined;
  /** False if the store has another configuration, which cannot be decoded; true if absent. */
  readonly isConfigurationCurrent?: boolean;
  readonly endpoints: readonly EndpointRecord[];
  /** All registered instances of the system, including this one. */
  readonly peers: readonly PeerRecord[];
  /** True if some instance holds the authority. */
  readonly isAuthorityHeld: boolean;
}

/** Differences between two consecutive snapshots, for logging. */
export interface ViewDifference {
  /** Undefined if the configuration version has not changed. */
  readonly configurationVersion: number | undefined;
  readonly added: readonly EndpointRecord[];
  /** Endpoints whose phase or stage has changed. */
  readonly changed: readonly EndpointRecord[];
  readonly removed: readonly EndpointRecord[];
}

/** Marks a ready endpoint as unconfirmed. A leaving endpoint keeps its phase. */
function markUnconfirmed(record: EndpointRecord): EndpointRecord {
  return record.phase === EndpointPhase.Ready
    ? { ...record, phase: EndpointPhase.Unconfirmed }
    : record;
}

/**
 * Local copy of the configuration, endpoints and instances in the store, with the times as of which
 * the store confirmed them. The configuration version never decreases.
 */
export class ConfirmedView {
  /** Includes suspensions, so that the view of a process resumed after a pause counts as old. */
  private readonly clock: Clock;

  /**
   * Shortest time without a successful read in which a registration can expire, in milliseconds.
   */
  private readonly minimumExpiryMilliseconds: number;

  private currentConfiguration: ForwardingConfiguration | undefined;

  private registeredPeers: readonly PeerRecord[] = [];

  private hasAuthorityHolder = false;

  private records = new Map<string, EndpointRecord>();

  private confirmedAtMilliseconds = Number.NEGATIVE_INFINITY;

  private configurationConfirmedAtMilliseconds = Number.NEGATIVE_INFINITY;

  private hasFailedReads = false;

  private retainMissingUntilMilliseconds = Number.NEGATIVE_INFINITY;

  private retainPeersUntilMilliseconds = Number.NEGATIVE_INFINITY;

  /** Era of the store in which the latest snapshot was read. */
  private era: number | undefined;

  private readonly restoredEntries: RestoredEntryFilter;

  /**
   * Endpoints renew their registrations about every `heartbeatMilliseconds` and may miss three
   * heartbeats.
   */
  constructor(clock: Clock, heartbeatMilliseconds: number) {
    this.clock = clock;
    this.minimumExpiryMilliseconds = heartbeatMilliseconds * MINIMUM_MISSED_HEARTBEATS;
    this.restoredEntries = new RestoredEntryFilter(
      heartbeatMilliseconds * MAXIMUM_MISSED_HEARTBEATS + REGISTRATION_RECOVERY_MILLISECONDS,
    );
  }

  get configuration(): ForwardingConfiguration | undefined {
    return this.currentConfiguration;
  }

  get endpoints(): readonly EndpointRecord[] {
    return [...this.records.values()];
  }

  get peers(): readonly PeerRecord[] {
    return this.registeredPeers;
  }

  /** True if some instance held the authority as of the last snapshot. */
  get isAuthorityHeld(): boolean {
    return this.hasAuthorityHolder;
  }

  /** Time since the request of the latest successful read, in milliseconds. */
  get ageMilliseconds(): number {
    return this.now() - this.confirmedAtMilliseconds;
  }

  /** Time since the request of the latest read that confirmed the configuration, in milliseconds. */
  get configurationAgeMilliseconds(): number {
    return this.configurationAgeAt(this.now());
  }

  /** Age of the configuration at a time of the clock that includes suspensions, in milliseconds. */
  configurationAgeAt(atMilliseconds: number): number {
    return atMilliseconds - this.configurationConfirmedAtMilliseconds;
  }

  now(): number {
    return this.clock.monotonicMilliseconds();
  }

  /** Records a failed read, after which registrations may be missing because they have expired. */
  recordFailedRead(): void {
    this.hasFailedReads = true;
  }

  /**
   * Applies a snapshot whose read was requested at the given time, and which reflects the store in the
   * given era.
   */
  apply(snapshot: ViewSnapshot, requestedAtMilliseconds: number, era = 0): ViewDifference {
    const now = this.clock.monotonicMilliseconds();
    const isRestored = this.era !== undefined && era > this.era;
    this.era = era;
    if (isRestored) {
      this.restoredEntries.begin(now);
      this.retainPeersUntilMilliseconds = now + PEER_LEASE_MILLISECONDS;
    }
    const gapMilliseconds = requestedAtMilliseconds - this.confirmedAtMilliseconds;
    const mayHaveExpired =
      isRestored || (this.hasFailedReads && gapMilliseconds > this.minimumExpiryMilliseconds);
    if (mayHaveExpired) {
      this.retainMissingUntilMilliseconds = now + REGISTRATION_RECOVERY_MILLISECONDS;
    }
    this.hasFailedReads = false;
    const isNewer =
      snapshot.configuration !== undefined &&
      snapshot.configuration.version > (this.currentConfiguration?.version ?? -1);
    if (isNewer) {
      this.currentConfiguration = snapshot.configuration;
    }
    const records = new Map(
      snapshot.endpoints.flatMap((stored) => {
        const known = this.records.get(stored.identifier);
        const record = this.restoredEntries.apply(stored, known, now);
        return record === undefined ? [] : [[record.identifier, record] as const];
      }),
    );
    const removed: EndpointRecord[] = [];
    for (const known of this.records.values()) {
      const record = records.get(known.identifier);
      if (record !== undefined) {
        if (incarnationKey(record) !== incarnationKey(known)) {
          this.restoredEntries.recordRemoval(known, now);
        }
      } else {
        // An endpoint missing since an earlier outage has already had its recovery time.
        const hadRecoveryTime =
          mayHaveExpired && !isRestored && known.phase === EndpointPhase.Unconfirmed;
        if (now < this.retainMissingUntilMilliseconds && !hadRecoveryTime) {
          records.set(known.identifier, markUnconfirmed(known));
        } else {
          removed.push(known);
          this.restoredEntries.recordRemoval(known, now);
        }
      }
    }
    const changed = [...records.values()].filter((record) => {
      const known = this.records.get(record.identifier);
      return known !== undefined && (known.phase !== record.phase || known.stage !== record.stage);
    });
    const added = [...records.values()].filter(({ identifier }) => !this.records.has(identifier));
    this.records = records;
    this.registeredPeers = this.withRetainedPeers(snapshot.peers, now);
    this.hasAuthorityHolder = snapshot.isAuthorityHeld;
    this.confirmedAtMilliseconds = Math.max(this.confirmedAtMilliseconds, requestedAtMilliseconds);
    if (snapshot.isConfigurationCurrent !== false) {
      this.configurationConfirmedAtMilliseconds = this.confirmedAtMilliseconds;
    }
    return {
      configurationVersion: isNewer ? this.currentConfiguration?.version : undefined,
      added,
      changed,
      removed,
    };
  }

  /** Adds the instances whose registration the store has lost, for as long as it would have lasted. */
  private withRetainedPeers(peers: readonly PeerRecord[], now: number): readonly PeerRecord[] {
    if (now >= this.retainPeersUntilMilliseconds) {
      return peers;
    }
    const registered = new Set(peers.map(({ instance }) => instance));
    return [...peers, ...this.registeredPeers.filter(({ instance }) => !registered.has(instance))];
  }
}
