import { drawMessageNumber, PeerMessageKind } from './PeerMessage.js';
import { ViewSource } from './ViewSource.js';

import type { ConfirmedView, ViewSnapshot } from './ConfirmedView.js';
import type { EndpointRecord } from './EndpointRecord.js';
import type { PeerChannel } from './PeerChannel.js';
import type {
  PeerMessage,
  RecordChanges,
  ViewAnswer,
  ViewChanges,
  ViewQuestion,
} from './PeerMessage.js';
import type { PeerRecord } from './PeerRecord.js';
import type { ViewRelay } from './ViewRelay.js';
import type { ViewReadResult } from './ViewSource.js';
import type { ZoneRelays } from './ZoneRelays.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { PartLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';

/** Time in which the relay answers: a crossing of the zone, and turns of two busy event loops. */
const ANSWER_MILLISECONDS = 150;

/** With a relay, the reading and the question each take half of the period for changes. */
const SHARED_PERIOD_PART = 0.5;

/** Part of the period up to which a reading of the relay is recent enough to go by. */
const OLDEST_READING_PART = 0.75;

/** Records in an answer, about 8 KB; after larger changes each instance reads the store. */
const MOST_ANSWERED_RECORDS = 40;

/** What the source works with. */
export interface SharedViewSourceParts {
  readonly self: PeerRecord;
  /** Reads the store itself. */
  readonly store: ViewSource;
  /** Answers the other instances, from the readings of this one. */
  readonly relay: ViewRelay;
  readonly relays: ZoneRelays;
  readonly channel: PeerChannel;
  readonly view: ConfirmedView;
  /** Counts suspensions, as the clock of the view does. */
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Time between two readings without a relay, in milliseconds. */
  readonly periodMilliseconds: number;
  readonly log: PartLogger;
}

function applyChanges<Entry>(
  latest: readonly Entry[],
  { changed, removed }: RecordChanges<Entry>,
  keyOf: (entry: Entry) => string,
): readonly Entry[] {
  if (changed.length === 0 && removed.length === 0) {
    return latest;
  }
  const entries = new Map(latest.map((entry) => [keyOf(entry), entry]));
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

/**
 * Reads what the operator and the endpoints wrote for a whole zone: one instance reads the store, the
 * others ask it what has changed. The configuration itself is always read from the store, and so is
 * everything when the relay does not answer or is behind. Each call of the store is paid for, and its
 * rates grow more slowly than the number of instances.
 */
export class SharedViewSource extends ViewSource {
  private readonly parts: SharedViewSourceParts;

  private latest: { readonly snapshot: ViewSnapshot; readonly revision: number } | undefined;

  /** Takes the answer to the question that is open. */
  private takeAnswer: (answer: ViewAnswer) => void = () => {};

  constructor(parts: SharedViewSourceParts) {
    super();
    this.parts = parts;
  }

  /** Answers questions and takes answers. Returns the function that ends it. */
  listen(): () => void {
    return this.parts.channel.subscribe((message: PeerMessage) => {
      if (message.kind === PeerMessageKind.ViewQuestion) {
        this.answer(message);
      } else if (message.kind === PeerMessageKind.ViewAnswer) {
        this.takeAnswer(message);
      }
    });
  }

  override async read(): Promise<ViewReadResult> {
    const { self, view, relays, clock } = this.parts;
    const relay = relays.sharedRelayOf(self.zone, view.peers, clock.monotonicMilliseconds());
    if (relay === undefined) {
      return this.readStore(1);
    }
    if (relay.instance === self.instance) {
      return this.readStore(SHARED_PERIOD_PART);
    }
    return (await this.ask(relay)) ?? this.readStore(1);
  }

  private async readStore(periodFraction: number): Promise<ViewReadResult> {
    const { store, relay, clock } = this.parts;
    const asked = clock.monotonicMilliseconds();
    const reading = await store.read();
    relay.record(reading, asked);
    this.latest = { snapshot: reading.snapshot, revision: reading.revision };
    return { ...reading, periodFraction };
  }

  /** Asks the relay. Undefined if the store has to be read. */
  private async ask(relay: PeerRecord): Promise<ViewReadResult | undefined> {
    const { relays, clock, periodMilliseconds } = this.parts;
    if (this.latest === undefined) {
      return undefined;
    }
    const answer = await this.exchange(relay, this.latest.revision);
    const isCurrent =
      answer !== undefined &&
      (answer.changes?.ageMilliseconds ?? 0) <= periodMilliseconds * OLDEST_READING_PART;
    if (!isCurrent) {
      relays.suspect(relay.instance, clock.monotonicMilliseconds());
      this.parts.log.info('The relay of the zone is passed over; the store is read.', {
        relay: relay.instance,
        reason: answer === undefined ? 'no answer' : 'its reading is old',
        readingAgeMilliseconds: Math.round(answer?.changes?.ageMilliseconds ?? 0),
      });
      return undefined;
    }
    return answer.changes === undefined ? undefined : this.apply(answer.changes);
  }

  private exchange(relay: PeerRecord, sinceRevision: number): Promise<ViewAnswer | undefined> {
    const { self, channel, clock, random } = this.parts;
    const number = drawMessageNumber(random);
    return new Promise((resolve) => {
      const finish = (answer: ViewAnswer | undefined) => {
        this.takeAnswer = () => {};
        resolve(answer);
      };
      const cancelAlarm = clock.schedule(ANSWER_MILLISECONDS, () => finish(undefined));
      this.takeAnswer = (answer) => {
        if (answer.number === number && answer.sender === relay.instance) {
          cancelAlarm();
          finish(answer);
        }
      };
      const asker = { host: self.host, port: self.port };
      channel.send(relay, { kind: PeerMessageKind.ViewQuestion, asker, number, sinceRevision });
    });
  }

  /** Adds changes to what is known. Undefined if the configuration has to be read. */
  private apply(changes: ViewChanges): ViewReadResult | undefined {
    const { latest } = this;
    if (latest === undefined) {
      return undefined;
    }
    // A relay that is behind confirms what is known as of its reading, and changes nothing.
    if (changes.revision > latest.revision) {
      const { configuration } = latest.snapshot;
      if (changes.configurationVersion !== configuration?.version) {
        return undefined;
      }
      const endpoints = applyChanges(latest.snapshot.endpoints, changes.endpoints, identifierOf);
      const peers = applyChanges(latest.snapshot.peers, changes.peers, instanceOf);
      const { isAuthorityHeld } = changes;
      this.latest = {
        snapshot: { configuration, endpoints, peers, isAuthorityHeld },
        revision: changes.revision,
      };
    }
    return {
      ...(this.latest ?? latest),
      maximumRevision: changes.revision,
      ageMilliseconds: changes.ageMilliseconds,
      periodFraction: SHARED_PERIOD_PART,
    };
  }

  private answer({ asker, number, sinceRevision }: ViewQuestion): void {
    const { self, relay, channel } = this.parts;
    const changes = relay.changesSince(sinceRevision);
    const isSmall = changes !== undefined && countRecords(changes) <= MOST_ANSWERED_RECORDS;
    channel.send(asker, {
      kind: PeerMessageKind.ViewAnswer,
      sender: self.instance,
      number,
      changes: isSmall ? changes : undefined,
    });
  }
}
