import { PeerMessageKind, randomMessageNumber } from './PeerMessage.js';
import { fingerprintOf } from './ViewFingerprint.js';
import { ViewSource } from './ViewSource.js';

import type { ConfirmedView, ViewSnapshot } from './ConfirmedView.js';
import type { EndpointRecord } from './EndpointRecord.js';
import type { PeerChannel } from './PeerChannel.js';
import type {
  PeerMessage,
  RecordChanges,
  ViewChanges,
  ViewRequest,
  ViewResponse,
} from './PeerMessage.js';
import type { PeerRecord } from './PeerRecord.js';
import type { ViewRelay } from './ViewRelay.js';
import type { ViewReadResult } from './ViewSource.js';
import type { ZoneRelaySelector } from './ZoneRelaySelector.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

/** Covers a round trip within the zone and the delays of two busy event loops. */
const RESPONSE_TIMEOUT_MILLISECONDS = 150;

/**
 * With a relay, a change passes through two reads, the relay's and the instance's own, so each of
 * them runs at half the period.
 */
const SHARED_PERIOD_FRACTION = 0.5;

/** Fraction of the period up to which the age of the relay's snapshot is accepted. */
const MAXIMUM_AGE_FRACTION = 0.75;

/** Limits responses to about 8 KB. After larger changes, each instance reads the store itself. */
const MAXIMUM_RESPONSE_RECORDS = 40;

/** Collaborators and settings of the source. */
export interface SharedViewSourceParts {
  readonly self: PeerRecord;
  /** Reads the store directly. */
  readonly store: ViewSource;
  /** Computes the changes for other instances from the snapshots that this one has read. */
  readonly relay: ViewRelay;
  readonly relaySelector: ZoneRelaySelector;
  readonly channel: PeerChannel;
  readonly view: ConfirmedView;
  /** Includes suspensions, like the clock of the view. */
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Time between two reads without a relay, in milliseconds. */
  readonly periodMilliseconds: number;
  readonly log: ComponentLogger;
}

function mergeChanges<Entry>(
  known: readonly Entry[],
  { changed, removed }: RecordChanges<Entry>,
  keyOf: (entry: Entry) => string,
): readonly Entry[] {
  if (changed.length === 0 && removed.length === 0) {
    return known;
  }
  const entries = new Map(known.map((entry) => [keyOf(entry), entry]));
  removed.forEach((key) => entries.delete(key));
  changed.forEach((entry) => entries.set(keyOf(entry), entry));
  return [...entries.values()];
}

const identifierOf = ({ identifier }: EndpointRecord) => identifier;
const instanceOf = ({ instance }: PeerRecord) => instance;

function countRecords({ endpoints, peers }: ViewChanges): number {
  return [endpoints.changed, endpoints.removed, peers.changed, peers.removed].reduce(
    (sum, { length }) => sum + length,
    0,
  );
}

/** The latest snapshot, read from the store or compared with that of a relay. */
interface VerifiedSnapshot {
  readonly snapshot: ViewSnapshot;
  readonly revision: StoreRevision;
  /** Undefined until it is compared. */
  readonly fingerprint?: string;
}

/**
 * Shares reads of the store within a zone: the relay reads the store, and the other instances
 * request changes from it. They read the store themselves when the configuration has changed, when
 * the relay does not respond, when its snapshot is stale and when its changes do not lead to its
 * list. Store calls are billed, and the
 * store's rate limits grow more slowly than the number of instances.
 */
export class SharedViewSource extends ViewSource {
  private readonly parts: SharedViewSourceParts;

  private latest: VerifiedSnapshot | undefined;

  /** Handles the response to the pending request. Ignores responses while none is pending. */
  private handleResponse: (response: ViewResponse) => void = () => {};

  constructor(parts: SharedViewSourceParts) {
    super();
    this.parts = parts;
  }

  /** Starts handling view messages. Returns the function that stops it. */
  listen(): () => void {
    return this.parts.channel.subscribe((message: PeerMessage) => {
      if (message.kind === PeerMessageKind.ViewRequest) {
        this.answer(message);
      } else if (message.kind === PeerMessageKind.ViewResponse) {
        this.handleResponse(message);
      }
    });
  }

  override async read(mustBeFresh = false): Promise<ViewReadResult> {
    if (mustBeFresh) {
      return this.readStore(1);
    }
    const { self, view, relaySelector, clock } = this.parts;
    const relay = relaySelector.storeRelayOf(self.zone, view.peers, clock.monotonicMilliseconds());
    if (relay === undefined) {
      return this.readStore(1);
    }
    if (relay.instance === self.instance) {
      return this.readStore(SHARED_PERIOD_FRACTION);
    }
    return (await this.queryRelay(relay)) ?? this.readStore(1);
  }

  private async readStore(periodFraction: number): Promise<ViewReadResult> {
    const { store, relay, clock } = this.parts;
    const requestedAtMilliseconds = clock.monotonicMilliseconds();
    const result = await store.read();
    relay.record(result, requestedAtMilliseconds);
    this.latest = { snapshot: result.snapshot, revision: result.revision };
    return { ...result, periodFraction };
  }

  /** Requests the changes from the relay. Returns undefined if the store has to be read. */
  private async queryRelay(relay: PeerRecord): Promise<ViewReadResult | undefined> {
    const { relaySelector, clock, periodMilliseconds } = this.parts;
    if (this.latest === undefined) {
      return undefined;
    }
    const response = await this.requestChanges(relay, this.latest.revision);
    const isCurrent =
      response !== undefined &&
      (response.changes?.ageMilliseconds ?? 0) <= periodMilliseconds * MAXIMUM_AGE_FRACTION;
    if (!isCurrent) {
      relaySelector.suspect(relay.instance, clock.monotonicMilliseconds());
      this.parts.log.info('Could not use the zone relay; reading the store directly.', {
        relay: relay.instance,
        reason: response === undefined ? 'no response' : 'stale snapshot',
        readingAgeMilliseconds: Math.round(response?.changes?.ageMilliseconds ?? 0),
      });
      return undefined;
    }
    return response.changes === undefined ? undefined : this.apply(response.changes);
  }

  private requestChanges(
    relay: PeerRecord,
    sinceRevision: StoreRevision,
  ): Promise<ViewResponse | undefined> {
    const { self, channel, clock, random } = this.parts;
    const number = randomMessageNumber(random);
    return new Promise((resolve) => {
      const finish = (response: ViewResponse | undefined) => {
        this.handleResponse = () => {};
        resolve(response);
      };
      const cancelTimeout = clock.schedule(RESPONSE_TIMEOUT_MILLISECONDS, () => finish(undefined));
      this.handleResponse = (response) => {
        if (response.number === number && response.sender === relay.instance) {
          cancelTimeout();
          finish(response);
        }
      };
      const requester = { host: self.host, port: self.port };
      channel.send(relay, { kind: PeerMessageKind.ViewRequest, requester, number, sinceRevision });
    });
  }

  /**
   * Applies changes to the latest snapshot. Returns undefined if the store has to be read: if the
   * configuration has changed or could not be decoded, if the changes are of another era, or if the result is not the list
   * of the relay.
   */
  private apply(changes: ViewChanges): ViewReadResult | undefined {
    const { latest } = this;
    if (
      latest === undefined ||
      latest.snapshot.isConfigurationCurrent === false ||
      changes.revision.era !== latest.revision.era
    ) {
      return undefined;
    }
    // A relay at an older revision changes nothing, but confirms the snapshot as of its own read.
    if (!latest.revision.isAfter(changes.revision)) {
      const { configuration } = latest.snapshot;
      if (changes.configurationVersion !== configuration?.version) {
        return undefined;
      }
      const endpoints = mergeChanges(latest.snapshot.endpoints, changes.endpoints, identifierOf);
      const peers = mergeChanges(latest.snapshot.peers, changes.peers, instanceOf);
      const { isAuthorityHeld } = changes;
      const snapshot = { configuration, endpoints, peers, isAuthorityHeld };
      const isUnchanged =
        endpoints === latest.snapshot.endpoints && peers === latest.snapshot.peers;
      const fingerprint = (isUnchanged ? latest.fingerprint : undefined) ?? fingerprintOf(snapshot);
      if (fingerprint !== changes.fingerprint) {
        this.parts.log.info('The changes of the zone relay are incomplete; reading the store.', {
          sinceRevision: latest.revision.number,
          revision: changes.revision.number,
        });
        return undefined;
      }
      this.latest = { snapshot, revision: changes.revision, fingerprint };
    }
    const { snapshot, revision } = this.latest ?? latest;
    return {
      snapshot,
      revision,
      maximumRevision: changes.revision,
      ageMilliseconds: changes.ageMilliseconds,
      periodFraction: SHARED_PERIOD_FRACTION,
    };
  }

  private answer({ requester, number, sinceRevision }: ViewRequest): void {
    const { self, relay, channel } = this.parts;
    const changes = relay.changesSince(sinceRevision);
    const isSmall = changes !== undefined && countRecords(changes) <= MAXIMUM_RESPONSE_RECORDS;
    channel.send(requester, {
      kind: PeerMessageKind.ViewResponse,
      sender: self.instance,
      number,
      changes: isSmall ? changes : undefined,
    });
  }
}
