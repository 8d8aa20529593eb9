import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';

import { PeerMessageKind, randomMessageNumber } from './PeerMessage.js';
import { RetainedUsageCounts } from './RetainedUsageCounts.js';

import type { ConfirmedView } from './ConfirmedView.js';
import type { PeerChannel } from './PeerChannel.js';
import type { PeerMessage, UsageCountsReport } from './PeerMessage.js';
import type { PeerRecord } from './PeerRecord.js';
import type { UsageCounts, UsageCountsWriter } from './UsageCountsWriter.js';
import type { ZoneRelaySelector } from './ZoneRelaySelector.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';

/** Time for which the relay collects counts of several instances into one write. */
const BATCH_DELAY_MILLISECONDS = 150;

/** Time after which an instance writes counts itself that the relay has not confirmed. */
const CONFIRMATION_TIMEOUT_MILLISECONDS = 800;

const MAXIMUM_HANDOFF_ATTEMPTS = 3;

/** Number of instances that receive a copy of the stored counts of a stopping instance. */
const COPY_RECIPIENTS = 2;

/** Era of a store that does not state one. */
const UNKNOWN_ERA = 0;

/** Collaborators of the relay. */
export interface UsageCountsRelayParts {
  readonly self: PeerRecord;
  readonly channel: PeerChannel;
  readonly view: ConfirmedView;
  readonly relaySelector: ZoneRelaySelector;
  readonly writer: UsageCountsWriter;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: ComponentLogger;
}

/** Counts collected for the next write, by window and incarnation. */
interface Batch {
  readonly parts: Map<string, UsageCounts>;
  readonly written: Promise<void>;
}

/**
 * Batches the usage counts of a zone: each instance reports its counts to the relay of the zone,
 * which writes those received within a short time together. An instance writes its counts itself if
 * the zone has no relay or the relay does not confirm them.
 */
export class UsageCountsRelay {
  private readonly parts: UsageCountsRelayParts;

  private batch: Batch | undefined;

  /** Counts taken over from stopped instances, and those written for other instances. */
  private readonly retained = new RetainedUsageCounts();

  private isStopping = false;

  /** Handlers for the confirmations of pending reports and handoffs, by number. */
  private readonly confirmationHandlers = new Map<number, () => void>();

  constructor(parts: UsageCountsRelayParts) {
    this.parts = parts;
  }

  /** True if the instances of the zone write through a relay. */
  get isShared(): boolean {
    return this.relay() !== undefined;
  }

  /** Starts handling reports, handoffs and confirmations. Returns the function that stops it. */
  listen(): () => void {
    return this.parts.channel.subscribe((message: PeerMessage) => {
      if (message.kind === PeerMessageKind.UsageCountsReport) {
        void this.acceptReport(message);
      } else if (message.kind === PeerMessageKind.UsageCountsHandoff) {
        this.acceptHandoff(message);
      } else if (message.kind === PeerMessageKind.UsageCountsConfirmation) {
        this.confirmationHandlers.get(message.number)?.();
      }
    });
  }

  /** Stores counts. Throws unless these counts or later ones are certainly stored. */
  async store(usage: UsageCounts): Promise<void> {
    const relay = this.relay();
    if (relay?.instance === this.parts.self.instance) {
      await this.addToBatch(usage);
    } else if (relay === undefined || !(await this.report(relay, usage))) {
      await this.parts.writer.write([usage]);
    }
  }

  /**
   * Hands counts off to another instance, which writes them when it can. Returns false if none
   * takes them over.
   */
  async handOff(usage: UsageCounts): Promise<boolean> {
    for (const peer of this.nearestPeers.slice(0, MAXIMUM_HANDOFF_ATTEMPTS)) {
      if (await this.send(peer, PeerMessageKind.UsageCountsHandoff, usage)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Sends stored counts to some instances, which write them again if the store is restored from an
   * older copy. Does not wait for confirmations, since the instance is about to stop.
   */
  sendCopies(usage: UsageCounts, storedEra: number | undefined): void {
    const { self, channel, random } = this.parts;
    channel.sendToAll(this.nearestPeers.slice(0, COPY_RECIPIENTS), {
      kind: PeerMessageKind.UsageCountsHandoff,
      reporter: { host: self.host, port: self.port },
      number: randomMessageNumber(random),
      usage,
      storedEra: storedEra ?? UNKNOWN_ERA,
    });
  }

  /**
   * Writes the retained counts of other instances that the store does not have: those taken over
   * from stopped instances and, after the store has been restored, all. Drops those of windows
   * before the oldest.
   */
  async writeRetained(oldestWindow: number): Promise<void> {
    const { writer, log } = this.parts;
    for (const { window, incarnation } of this.retained.dropBefore(oldestWindow)) {
      log.warn('Dropped usage counts of a stopped instance; could not write them in time.', {
        window,
        incarnation,
      });
    }
    const { era } = this;
    const entries = this.retained.unstoredIn(era);
    if (entries.length > 0) {
      await writer.write(entries);
      this.retained.markStored(entries, era);
    }
  }

  /** Hands off again what was taken over and not written, and takes over nothing more. */
  async handOffAll(): Promise<void> {
    this.isStopping = true;
    await Promise.all(
      this.retained.unstored.map(async (usage) => {
        if (await this.handOff(usage)) {
          this.retained.remove(usage);
        }
      }),
    );
  }

  private get era(): number {
    return this.parts.writer.era.current ?? UNKNOWN_ERA;
  }

  /** All other instances, those of this zone first. */
  private get nearestPeers(): PeerRecord[] {
    const { self, view } = this.parts;
    return view.peers
      .filter(({ instance }) => instance !== self.instance)
      .toSorted((left, right) => this.distance(left) - this.distance(right));
  }

  private distance({ zone }: PeerRecord): number {
    return zone === this.parts.self.zone ? 0 : 1;
  }

  private relay(): PeerRecord | undefined {
    const { self, view, relaySelector, clock } = this.parts;
    return relaySelector.storeRelayOf(self.zone, view.peers, clock.monotonicMilliseconds());
  }

  /** Reports counts to the relay. Returns false if it does not confirm them. */
  private async report(relay: PeerRecord, usage: UsageCounts): Promise<boolean> {
    const isConfirmed = await this.send(relay, PeerMessageKind.UsageCountsReport, usage);
    if (!isConfirmed) {
      const { relaySelector, clock } = this.parts;
      relaySelector.suspect(relay.instance, clock.monotonicMilliseconds());
    }
    return isConfirmed;
  }

  /** Sends counts and waits for the confirmation. Returns false on a timeout. */
  private send(
    peer: PeerRecord,
    kind: UsageCountsReport['kind'],
    usage: UsageCounts,
  ): Promise<boolean> {
    const { self, channel, clock, random } = this.parts;
    const number = randomMessageNumber(random);
    return new Promise((resolve) => {
      const cancelTimeout = clock.schedule(CONFIRMATION_TIMEOUT_MILLISECONDS, () => {
        this.confirmationHandlers.delete(number);
        resolve(false);
      });
      this.confirmationHandlers.set(number, () => {
        this.confirmationHandlers.delete(number);
        cancelTimeout();
        resolve(true);
      });
      const reporter = { host: self.host, port: self.port };
      channel.send(peer, { kind, reporter, number, usage, storedEra: undefined });
    });
  }

  private acceptHandoff({ reporter, number, usage, storedEra }: UsageCountsReport): void {
    if (!this.isStopping && this.retained.add(usage, storedEra)) {
      this.parts.channel.send(reporter, { kind: PeerMessageKind.UsageCountsConfirmation, number });
    }
  }

  private async acceptReport({ reporter, number, usage }: UsageCountsReport): Promise<void> {
    const { channel, log } = this.parts;
    // Read before the write: counts that were written while the store was restored count as lost.
    const { era } = this;
    try {
      await this.addToBatch(usage);
      this.retained.add(usage, era);
      channel.send(reporter, { kind: PeerMessageKind.UsageCountsConfirmation, number });
    } catch (error) {
      log.warn('Could not write usage counts of another instance; it will write them itself.', {
        window: usage.window,
        reason: describeFailure(failureOf(error)),
      });
    }
  }

  /** Adds counts to the next write. Resolves when they are written. */
  private addToBatch(usage: UsageCounts): Promise<void> {
    this.batch ??= this.startBatch();
    // Reports of one instance are reordered by at most one write, and the writer drops counts that
    // are lower than the stored ones.
    this.batch.parts.set(`${usage.window}/${usage.incarnation}`, usage);
    return this.batch.written;
  }

  private startBatch(): Batch {
    const { clock, writer } = this.parts;
    const parts = new Map<string, UsageCounts>();
    const written = clock.sleep(BATCH_DELAY_MILLISECONDS).then(() => {
      this.batch = undefined;
      return writer.write([...parts.values()]);
    });
    return { parts, written };
  }
}
