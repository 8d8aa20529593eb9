import { Task } from 'hickoryrelay/Task';

import { CRASH_EVIDENCE_KIND } from './CrashEvidenceMessage.js';

import type { ConfirmedView } from './ConfirmedView.js';
import type { CrashEvidence } from './CrashEvidence.js';
import type { CrashEvidenceMessage } from './CrashEvidenceMessage.js';
import type { PeerChannel } from './PeerChannel.js';
import type { PeerAddress, PeerRecord } from './PeerRecord.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { TaskContext } from 'hickoryrelay/Task';

const PERIOD_MILLISECONDS = 100;

/** Periods in which a change is sent, since datagrams get lost. */
const CHANGE_REPETITIONS = 4;

/** Periods between messages with the strongest evidence to random peers, which may miss changes. */
const PERIODS_PER_REMINDER = 10;
const REMINDED_PEERS = 3;

/** With more peers, changes spread from each instance to a few others at random. */
const MAXIMUM_DIRECT_PEERS = 16;
const RANDOM_PEERS = 6;

/** Peers that an instance asks for their evidence in each period until one replies. */
const ASKED_PEERS = 3;

/** Keeps a datagram within a few kilobytes. */
const MAXIMUM_SEGMENTS_PER_MESSAGE = 40;

/** Collaborators of the task. */
export interface CrashEvidenceExchangeParts {
  readonly self: PeerRecord;
  readonly channel: PeerChannel;
  readonly view: ConfirmedView;
  readonly evidence: CrashEvidence;
  readonly random: RandomSource;
  /** The clock of the evidence, which includes suspensions. */
  readonly evidenceClock: Clock;
}

/**
 * Spreads crash evidence to all instances. Messages carry state rather than events, so lost and
 * repeated ones do no harm. Nothing is sent while there is no evidence.
 */
export class CrashEvidenceExchangeTask extends Task {
  override readonly name = 'crash evidence';

  private readonly parts: CrashEvidenceExchangeParts;

  /** Changed segments, with the number of periods in which they are still sent. */
  private readonly changed = new Map<number, number>();

  private hasReply = false;

  private periods = 0;

  constructor(parts: CrashEvidenceExchangeParts) {
    super();
    this.parts = parts;
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    const { channel, evidence } = this.parts;
    const unsubscribeChannel = channel.subscribe((message) => {
      if (message.kind === CRASH_EVIDENCE_KIND) {
        this.receive(message);
      }
    });
    const unsubscribeEvidence = evidence.subscribe((segment) => this.markChanged(segment));
    try {
      for (;;) {
        evidence.expire(this.now());
        this.exchange();
        yield;
        await clock.sleep(PERIOD_MILLISECONDS, signal);
      }
    } finally {
      unsubscribeChannel();
      unsubscribeEvidence();
    }
  }

  private now(): number {
    return this.parts.evidenceClock.monotonicMilliseconds();
  }

  private get peers(): PeerRecord[] {
    const { view, self } = this.parts;
    return view.peers.filter(({ instance }) => instance !== self.instance);
  }

  private markChanged(segment: number): void {
    this.changed.set(segment, CHANGE_REPETITIONS);
  }

  private receive({ replyTo, evidence: received }: CrashEvidenceMessage): void {
    const { evidence } = this.parts;
    const { learned, outdated } = evidence.merge(received, this.now());
    outdated.forEach((segment) => this.markChanged(segment));
    if (this.peers.length > MAXIMUM_DIRECT_PEERS) {
      learned.forEach((segment) => this.markChanged(segment));
    }
    if (replyTo === undefined) {
      this.hasReply = true;
    } else {
      this.send([replyTo], this.strongestSegments());
    }
  }

  private exchange(): void {
    this.periods += 1;
    const { peers } = this;
    if (peers.length === 0) {
      return;
    }
    if (!this.hasReply) {
      const { host, port } = this.parts.self;
      this.send(this.choose(peers, ASKED_PEERS), [], { host, port });
    }
    if (this.periods % PERIODS_PER_REMINDER === 0 && this.parts.evidence.size > 0) {
      const strongest = this.strongestSegments().slice(0, MAXIMUM_SEGMENTS_PER_MESSAGE);
      this.send(this.choose(peers, REMINDED_PEERS), strongest);
    }
    if (this.changed.size > 0) {
      const isDirect = peers.length <= MAXIMUM_DIRECT_PEERS;
      this.send(isDirect ? peers : this.choose(peers, RANDOM_PEERS), [...this.changed.keys()]);
      this.countRepetition();
    }
  }

  private countRepetition(): void {
    for (const [segment, repetitions] of this.changed) {
      if (repetitions > 1) {
        this.changed.set(segment, repetitions - 1);
      } else {
        this.changed.delete(segment);
      }
    }
  }

  /** All segments, those with the most crashes first. */
  private strongestSegments(): number[] {
    return [...this.parts.evidence.segments]
      .toSorted((left, right) => right.crashes.size - left.crashes.size)
      .map(({ segment }) => segment);
  }

  private choose(peers: readonly PeerRecord[], count: number): PeerRecord[] {
    const remaining = [...peers];
    const chosen: PeerRecord[] = [];
    while (chosen.length < count && remaining.length > 0) {
      chosen.push(...remaining.splice(this.parts.random.integerBelow(remaining.length), 1));
    }
    return chosen;
  }

  private send(
    peers: readonly PeerAddress[],
    segments: readonly number[],
    replyTo?: PeerAddress,
  ): void {
    const { channel, evidence } = this.parts;
    const now = this.now();
    const reports = segments
      .map((segment) => evidence.report(segment, now))
      .filter((report) => report !== undefined);
    let first = 0;
    do {
      channel.sendToAll(peers, {
        kind: CRASH_EVIDENCE_KIND,
        replyTo,
        evidence: reports.slice(first, first + MAXIMUM_SEGMENTS_PER_MESSAGE),
      });
      first += MAXIMUM_SEGMENTS_PER_MESSAGE;
    } while (first < reports.length);
  }
}
