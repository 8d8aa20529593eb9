import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';

import { PeerMessageKind, randomMessageNumber } from './PeerMessage.js';

import type { ConfirmedView } from './ConfirmedView.js';
import type { PeerChannel } from './PeerChannel.js';
import type { PeerMessage, UsagePartReport } from './PeerMessage.js';
import type { PeerRecord } from './PeerRecord.js';
import type { UsagePart, UsagePartWriter } from './UsagePartWriter.js';
import type { ZoneRelaySelector } from './ZoneRelaySelector.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { PartLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';

/** Time in which the relay gathers parts for one write, in milliseconds. */
const GATHER_MILLISECONDS = 150;

/** Time after which a part that the relay has not confirmed is written by its owner. */
const CONFIRMATION_MILLISECONDS = 800;

/** Instances to which the counts of a stopping instance are offered, one after the other. */
const MOST_HAND_OVERS = 3;

/** Parts that are kept for other instances; more are refused. */
const MOST_KEPT_PARTS = 200;

/** What the relay works with. */
export interface UsagePartRelayParts {
  readonly self: PeerRecord;
  readonly channel: PeerChannel;
  readonly view: ConfirmedView;
  readonly relaySelector: ZoneRelaySelector;
  readonly writer: UsagePartWriter;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: PartLogger;
}

/** Parts that wait for the next write, and the write. */
interface Batch {
  readonly parts: Map<string, UsagePart>;
  readonly written: Promise<void>;
}

/**
 * Writes the counts of the instances of a zone in common: each hands its counts to the relay of the
 * zone, which writes those that come within a short time at once. An instance writes its counts itself
 * where the zone has no relay or the relay does not confirm them.
 */
export class UsagePartRelay {
  private readonly parts: UsagePartRelayParts;

  private batch: Batch | undefined;

  /** Parts of instances that have stopped, by window and incarnation. */
  private readonly kept = new Map<string, UsagePart>();

  /** Called when the relay has confirmed a report, by its number. */
  private readonly confirmations = new Map<number, () => void>();

  constructor(parts: UsagePartRelayParts) {
    this.parts = parts;
  }

  /** True if several instances write in common. */
  get isShared(): boolean {
    return this.relay() !== undefined;
  }

  /** Takes parts and confirmations. Returns the function that ends it. */
  listen(): () => void {
    return this.parts.channel.subscribe((message: PeerMessage) => {
      if (message.kind === PeerMessageKind.UsagePartReport) {
        void this.take(message);
      } else if (message.kind === PeerMessageKind.UsagePartHandOver) {
        this.keep(message);
      } else if (message.kind === PeerMessageKind.UsagePartStored) {
        this.confirmations.get(message.number)?.();
      }
    });
  }

  /** Stores a part. Throws if it is not certain that it, or a later one, is stored. */
  async store(part: UsagePart): Promise<void> {
    const relay = this.relay();
    if (relay?.instance === this.parts.self.instance) {
      await this.gather(part);
    } else if (relay === undefined || !(await this.report(relay, part))) {
      await this.parts.writer.write([part]);
    }
  }

  /** Hands a part to another instance, which writes it when it can. False if none takes it. */
  async handOver(part: UsagePart): Promise<boolean> {
    const { self, view } = this.parts;
    const others = view.peers
      .filter(({ instance }) => instance !== self.instance)
      .toSorted((left, right) => this.distance(left) - this.distance(right));
    for (const peer of others.slice(0, MOST_HAND_OVERS)) {
      if (await this.send(peer, PeerMessageKind.UsagePartHandOver, part)) {
        return true;
      }
    }
    return false;
  }

  /** Writes what was handed over. Parts of windows before the oldest one are dropped. */
  async writeKept(oldestWindow: number): Promise<void> {
    for (const [key, part] of this.kept) {
      if (part.window < oldestWindow) {
        this.kept.delete(key);
        this.parts.log.warn('Counts that were handed over could not be written in time.', {
          window: part.window,
          incarnation: part.incarnation,
        });
      }
    }
    const parts = [...this.kept];
    if (parts.length > 0) {
      await this.parts.writer.write(parts.map(([, part]) => part));
      parts.forEach(([key]) => this.kept.delete(key));
    }
  }

  private distance({ zone }: PeerRecord): number {
    return zone === this.parts.self.zone ? 0 : 1;
  }

  private relay(): PeerRecord | undefined {
    const { self, view, relaySelector, clock } = this.parts;
    return relaySelector.storeRelayOf(self.zone, view.peers, clock.monotonicMilliseconds());
  }

  /** Hands a part to the relay. False if it does not confirm it. */
  private async report(relay: PeerRecord, part: UsagePart): Promise<boolean> {
    const isConfirmed = await this.send(relay, PeerMessageKind.UsagePartReport, part);
    if (!isConfirmed) {
      const { relaySelector, clock } = this.parts;
      relaySelector.suspect(relay.instance, clock.monotonicMilliseconds());
    }
    return isConfirmed;
  }

  /** Sends a part and waits for its confirmation. */
  private send(peer: PeerRecord, kind: UsagePartReport['kind'], part: UsagePart): Promise<boolean> {
    const { self, channel, clock, random } = this.parts;
    const number = randomMessageNumber(random);
    return new Promise((resolve) => {
      const cancelAlarm = clock.schedule(CONFIRMATION_MILLISECONDS, () => {
        this.confirmations.delete(number);
        resolve(false);
      });
      this.confirmations.set(number, () => {
        this.confirmations.delete(number);
        cancelAlarm();
        resolve(true);
      });
      channel.send(peer, { kind, reporter: { host: self.host, port: self.port }, number, part });
    });
  }

  private keep({ reporter, number, part }: UsagePartReport): void {
    if (this.kept.size < MOST_KEPT_PARTS) {
      this.kept.set(`${part.window}/${part.incarnation}`, part);
      this.parts.channel.send(reporter, { kind: PeerMessageKind.UsagePartStored, number });
    }
  }

  private async take({ reporter, number, part }: UsagePartReport): Promise<void> {
    const { channel, log } = this.parts;
    try {
      await this.gather(part);
      channel.send(reporter, { kind: PeerMessageKind.UsagePartStored, number });
    } catch (error) {
      log.warn('Counts of another instance were not written; it writes them itself.', {
        window: part.window,
        reason: describeFailure(failureOf(error)),
      });
    }
  }

  /** Adds a part to the next write. Resolves when it is written. */
  private gather(part: UsagePart): Promise<void> {
    this.batch ??= this.startBatch();
    // Datagrams of one instance do not overtake each other here by more than a write, and the
    // writer drops counts that are lower than the stored ones.
    this.batch.parts.set(`${part.window}/${part.incarnation}`, part);
    return this.batch.written;
  }

  private startBatch(): Batch {
    const { clock, writer } = this.parts;
    const parts = new Map<string, UsagePart>();
    const written = clock.sleep(GATHER_MILLISECONDS).then(() => {
      this.batch = undefined;
      return writer.write([...parts.values()]);
    });
    return { parts, written };
  }
}
