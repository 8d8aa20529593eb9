import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';

import { CallMeter } from './CallMeter.js';
import { OPEN_ACCOUNT } from './OpenAccount.js';
import { MessageNumbers, NameTable, ReplicaHolder } from './ReplicaHolder.js';
import { UsageJournal } from './UsageJournal.js';
import { windowAt } from './UsageWindow.js';

import type { CallFigures, MeteredCall } from './CallMeter.js';
import type { CountedSequences } from './CountedSequences.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { Call } from 'hickoryrelay-link/Call';
import type { InstanceIdentity } from 'hickoryrelay-link/PeerMessages';
import type { PeerNetwork } from 'hickoryrelay-link/PeerNetwork';

const HOLDER_COUNT = 2;

/** What a usage meter works with. */
export interface UsageMeterParts {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly log: ComponentLogger;
}

/** Times and thresholds of the replication of usage records. */
export interface ReplicationSettings {
  /** Interval of the batches with openings and with closings for the second holder. */
  readonly batchMilliseconds: number;
  /** Least time between two batches of progress. */
  readonly progressMilliseconds: number;
  /** Time for which closings are gathered before they go to the first holder. */
  readonly closeGatherMilliseconds: number;
  /** Longest wait of `close` for an acknowledgement. */
  readonly closeWaitMilliseconds: number;
  /** Growth of a running call's figure that is worth an entry in a progress batch. */
  readonly progressTokens: number;
}

export const DEFAULT_REPLICATION: ReplicationSettings = {
  batchMilliseconds: 250,
  progressMilliseconds: 1000,
  closeGatherMilliseconds: 40,
  closeWaitMilliseconds: 2000,
  progressTokens: 128,
};

/** Counts of closes that do not survive the loss of this instance. */
export interface UsageMeterCounts {
  readonly closedWithoutPeer: number;
  readonly closedUnacknowledged: number;
}

/** Meters calls and keeps their records at two peers until they are sealed. */
export class UsageMeter extends CallMeter {
  readonly journal = new UsageJournal();

  private readonly network: PeerNetwork;

  private readonly clock: Clock;

  private readonly log: ComponentLogger;

  private readonly settings: ReplicationSettings;

  private readonly table = new NameTable();

  private readonly numbers = new MessageNumbers();

  private holders: ReplicaHolder[] = [];

  private readonly waiters = new Map<number, () => void>();

  private cancelGather: (() => void) | undefined;

  private newlyCounted: CountedSequences | undefined;

  private nextProgressMilliseconds = 0;

  private closedWithoutPeer = 0;

  private closedUnacknowledged = 0;

  constructor(parts: UsageMeterParts, settings: ReplicationSettings = DEFAULT_REPLICATION) {
    super();
    this.network = parts.network;
    this.clock = parts.clock;
    this.log = parts.log;
    this.settings = settings;
  }

  get counts(): UsageMeterCounts {
    const { closedWithoutPeer, closedUnacknowledged } = this;
    return { closedWithoutPeer, closedUnacknowledged };
  }

  /** Names of the peers that hold the records of this instance. */
  get holderNames(): readonly string[] {
    return this.holders.map(({ identity }) => identity.name);
  }

  override open(call: Call, endpoint: string): MeteredCall {
    const sequence = this.journal.open(
      {
        requestIdentifier: call.requestIdentifier,
        account: call.accountName ?? OPEN_ACCOUNT,
        className: call.className,
        subject: call.kind === WorkKind.Model ? call.model : call.route,
      },
      endpoint,
      call.kind === WorkKind.Model ? call.promptTokens : 0,
    );
    this.holders.forEach((holder) => holder.enqueue(sequence));
    return {
      progress: (completionTokens) => this.journal.progress(sequence, completionTokens),
      moveTo: (other) => {
        this.journal.moveTo(sequence, other);
        this.holders.forEach((holder) => holder.enqueue(sequence, true));
      },
      close: (figures) => this.close(sequence, figures),
    };
  }

  /** Sends a batch to each holder. Called at each batch interval. */
  replicate(): void {
    this.updateHolders();
    const now = this.clock.monotonicMilliseconds();
    this.holders.forEach((holder) => holder.flush(now));
    if (now >= this.nextProgressMilliseconds) {
      this.nextProgressMilliseconds = now + this.settings.progressMilliseconds;
      this.holders.forEach((holder) =>
        holder.sendProgress(this.settings.progressTokens, this.newlyCounted),
      );
      this.newlyCounted = undefined;
    }
  }

  /** Takes the acknowledgement of messages by a holder. */
  acknowledge(from: InstanceIdentity, numbers: readonly number[]): void {
    const holder = this.holders.find(({ identity }) => identity.incarnation === from.incarnation);
    numbers
      .flatMap((number) => holder?.acknowledge(number) ?? [])
      .forEach((sequence) => this.waiters.get(sequence)?.());
  }

  /** Drops the records that a seal counts, here and at the holders. */
  drop(counted: CountedSequences): void {
    this.journal.drop(counted);
    this.holders.forEach((holder) => holder.drop(counted));
    this.newlyCounted = counted;
    [...this.waiters]
      .filter(([sequence]) => counted.has(sequence))
      .forEach(([, resolve]) => resolve());
  }

  private async close(sequence: number, figures: CallFigures): Promise<void> {
    this.journal.close(sequence, figures, windowAt(this.clock.wallMilliseconds()));
    this.updateHolders();
    this.holders.forEach((holder) => holder.enqueue(sequence));
    if (this.holders.length === 0) {
      this.closedWithoutPeer += 1;
      return;
    }
    this.cancelGather ??= this.clock.schedule(this.settings.closeGatherMilliseconds, () =>
      this.flushClosings(),
    );
    if (!(await this.isAcknowledged(sequence))) {
      this.closedUnacknowledged += 1;
      this.log.warn('No peer acknowledged a usage record in time.', { sequence });
    }
  }

  private isAcknowledged(sequence: number): Promise<boolean> {
    return new Promise((resolve) => {
      const end = (isAcknowledged: boolean) => {
        this.waiters.delete(sequence);
        resolve(isAcknowledged);
      };
      const cancel = this.clock.schedule(this.settings.closeWaitMilliseconds, () => end(false));
      this.waiters.set(sequence, () => {
        cancel();
        end(true);
      });
    });
  }

  /** Only the first holder is told at once; one acknowledgement is enough. */
  private flushClosings(): void {
    this.cancelGather = undefined;
    const now = this.clock.monotonicMilliseconds();
    this.holders[0]?.flushClosed(now);
  }

  /** Keeps connected holders, replaces lost ones and prefers one in another zone. */
  private updateHolders(): void {
    const connected = this.network.connectedPeers();
    const isConnected = (each: InstanceIdentity) =>
      connected.some(({ incarnation }) => incarnation === each.incarnation);
    const kept = this.holders.filter(({ identity }) => isConnected(identity));
    const chosen = this.chooseHolders(
      kept.map(({ identity }) => identity),
      connected,
    );
    this.holders = chosen.map(
      (peer) =>
        kept.find(({ identity }) => identity.incarnation === peer.incarnation) ??
        this.newHolder(peer),
    );
  }

  private chooseHolders(
    kept: readonly InstanceIdentity[],
    connected: readonly InstanceIdentity[],
  ): readonly InstanceIdentity[] {
    const isElsewhere = (peer: InstanceIdentity) => peer.zone !== this.network.identity.zone;
    const candidates = [
      ...kept,
      ...connected.filter((peer) => !kept.some((each) => each.incarnation === peer.incarnation)),
    ];
    const elsewhere = candidates.find(isElsewhere);
    const first = candidates.find((peer) => !isElsewhere(peer)) ?? elsewhere;
    const others = candidates.filter((peer) => peer !== first);
    const second = others.find(isElsewhere) ?? others[0];
    return [first, second].filter((peer) => peer !== undefined).slice(0, HOLDER_COUNT);
  }

  private newHolder(peer: InstanceIdentity): ReplicaHolder {
    const holder = new ReplicaHolder(peer, this.network, this.journal, this.table, this.numbers);
    for (const sequence of this.journal.sequences()) {
      holder.enqueue(sequence);
    }
    return holder;
  }
}
