import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';

import { CallMeter } from './CallMeter.js';
import { OPEN_ACCOUNT } from './OpenAccount.js';
import { MessageNumbers, NameTable, ReplicaPeer } from './ReplicaPeer.js';
import { UsageJournal } from './UsageJournal.js';
import { windowAt } from './UsageWindow.js';

import type { MeteredCall, TokenCounts } from './CallMeter.js';
import type { CountedSequences } from './CountedSequences.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { Call } from 'hickoryrelay-link/Call';
import type { InstanceIdentity } from 'hickoryrelay-link/PeerMessages';
import type { PeerNetwork } from 'hickoryrelay-link/PeerNetwork';

const REPLICA_COUNT = 2;

/** Dependencies of a usage meter. */
export interface UsageMeterParts {
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly log: ComponentLogger;
}

/** Intervals, timeouts and thresholds for the replication of usage records. */
export interface ReplicationSettings {
  /** Interval of batches with open records, and with closed ones for the second replica peer. */
  readonly batchIntervalMilliseconds: number;
  /** Minimum time between two progress batches. */
  readonly progressIntervalMilliseconds: number;
  /** Delay for batching closed records before they are sent to the first replica peer. */
  readonly closeBatchDelayMilliseconds: number;
  /** Time for which `close` waits for an acknowledgement. */
  readonly acknowledgementTimeoutMilliseconds: number;
  /** Growth of a running call's completion tokens that adds it to a progress batch. */
  readonly progressThresholdTokens: number;
}

export const DEFAULT_REPLICATION: ReplicationSettings = {
  batchIntervalMilliseconds: 250,
  progressIntervalMilliseconds: 1000,
  closeBatchDelayMilliseconds: 40,
  acknowledgementTimeoutMilliseconds: 2000,
  progressThresholdTokens: 128,
};

/** Numbers of closed records that are not known to survive the loss of this instance. */
export interface UsageMeterCounts {
  readonly closedWithoutPeer: number;
  readonly closedUnacknowledged: number;
}

/** Meters calls and replicates their records to two peers until they are sealed. */
export class UsageMeter extends CallMeter {
  readonly journal = new UsageJournal();

  private readonly network: PeerNetwork;

  private readonly clock: Clock;

  private readonly log: ComponentLogger;

  private readonly settings: ReplicationSettings;

  private readonly nameTable = new NameTable();

  private readonly numbers = new MessageNumbers();

  private replicaPeers: ReplicaPeer[] = [];

  private readonly acknowledgementWaiters = new Map<number, () => void>();

  private cancelCloseFlush: (() => void) | undefined;

  /** Counted sequences, sent to the replica peers with the next progress batch. */
  private pendingCounted: CountedSequences | undefined;

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

  /** Names of the peers to which the records of this instance are replicated. */
  get replicaPeerNames(): readonly string[] {
    return this.replicaPeers.map(({ identity }) => identity.name);
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
    this.replicaPeers.forEach((replicaPeer) => replicaPeer.enqueue(sequence));
    return {
      progress: (completionTokens) => this.journal.progress(sequence, completionTokens),
      setEndpoint: (newEndpoint) => {
        this.journal.setEndpoint(sequence, newEndpoint);
        this.replicaPeers.forEach((replicaPeer) => replicaPeer.enqueue(sequence, true));
      },
      close: (tokenCounts) => this.close(sequence, tokenCounts),
    };
  }

  /** Sends a batch to each replica peer. Called once per batch interval. */
  replicate(): void {
    this.updateReplicaPeers();
    const now = this.clock.monotonicMilliseconds();
    this.replicaPeers.forEach((replicaPeer) => replicaPeer.flush(now));
    if (now >= this.nextProgressMilliseconds) {
      this.nextProgressMilliseconds = now + this.settings.progressIntervalMilliseconds;
      this.replicaPeers.forEach((replicaPeer) =>
        replicaPeer.sendProgress(this.settings.progressThresholdTokens, this.pendingCounted),
      );
      this.pendingCounted = undefined;
    }
  }

  /** Handles the acknowledgement of messages by a replica peer. */
  acknowledge(from: InstanceIdentity, numbers: readonly number[]): void {
    const replicaPeer = this.replicaPeers.find(
      ({ identity }) => identity.incarnation === from.incarnation,
    );
    numbers
      .flatMap((number) => replicaPeer?.acknowledge(number) ?? [])
      .forEach((sequence) => this.acknowledgementWaiters.get(sequence)?.());
  }

  /** Drops the records that a seal counts, here and at the replica peers. */
  drop(counted: CountedSequences): void {
    this.journal.drop(counted);
    this.replicaPeers.forEach((replicaPeer) => replicaPeer.drop(counted));
    this.pendingCounted = counted;
    [...this.acknowledgementWaiters]
      .filter(([sequence]) => counted.has(sequence))
      .forEach(([, resolve]) => resolve());
  }

  private async close(sequence: number, tokenCounts: TokenCounts): Promise<void> {
    this.journal.close(sequence, tokenCounts, windowAt(this.clock.wallMilliseconds()));
    this.updateReplicaPeers();
    this.replicaPeers.forEach((replicaPeer) => replicaPeer.enqueue(sequence));
    if (this.replicaPeers.length === 0) {
      this.closedWithoutPeer += 1;
      return;
    }
    this.cancelCloseFlush ??= this.clock.schedule(this.settings.closeBatchDelayMilliseconds, () =>
      this.flushClosedRecords(),
    );
    if (!(await this.waitForAcknowledgement(sequence))) {
      this.closedUnacknowledged += 1;
      this.log.warn('No peer acknowledged a usage record in time.', { sequence });
    }
  }

  private waitForAcknowledgement(sequence: number): Promise<boolean> {
    return new Promise((resolve) => {
      const settle = (isAcknowledged: boolean) => {
        this.acknowledgementWaiters.delete(sequence);
        resolve(isAcknowledged);
      };
      const cancel = this.clock.schedule(this.settings.acknowledgementTimeoutMilliseconds, () =>
        settle(false),
      );
      this.acknowledgementWaiters.set(sequence, () => {
        cancel();
        settle(true);
      });
    });
  }

  /** Sends closed records to the first replica peer only; one acknowledgement is enough. */
  private flushClosedRecords(): void {
    this.cancelCloseFlush = undefined;
    const now = this.clock.monotonicMilliseconds();
    this.replicaPeers[0]?.flushClosedRecords(now);
  }

  /** Keeps connected replica peers, replaces lost ones and prefers one in another zone. */
  private updateReplicaPeers(): void {
    const connected = this.network.connectedPeers();
    const isConnected = (each: InstanceIdentity) =>
      connected.some(({ incarnation }) => incarnation === each.incarnation);
    const retained = this.replicaPeers.filter(({ identity }) => isConnected(identity));
    const chosen = this.chooseReplicaPeers(
      retained.map(({ identity }) => identity),
      connected,
    );
    this.replicaPeers = chosen.map(
      (peer) =>
        retained.find(({ identity }) => identity.incarnation === peer.incarnation) ??
        this.createReplicaPeer(peer),
    );
  }

  private chooseReplicaPeers(
    retained: readonly InstanceIdentity[],
    connected: readonly InstanceIdentity[],
  ): readonly InstanceIdentity[] {
    const isInOtherZone = (peer: InstanceIdentity) => peer.zone !== this.network.identity.zone;
    const candidates = [
      ...retained,
      ...connected.filter(
        (peer) => !retained.some((each) => each.incarnation === peer.incarnation),
      ),
    ];
    const remoteCandidate = candidates.find(isInOtherZone);
    const first = candidates.find((peer) => !isInOtherZone(peer)) ?? remoteCandidate;
    const others = candidates.filter((peer) => peer !== first);
    const second = others.find(isInOtherZone) ?? others[0];
    return [first, second].filter((peer) => peer !== undefined).slice(0, REPLICA_COUNT);
  }

  private createReplicaPeer(peer: InstanceIdentity): ReplicaPeer {
    const replicaPeer = new ReplicaPeer(
      peer,
      this.network,
      this.journal,
      this.nameTable,
      this.numbers,
    );
    for (const sequence of this.journal.sequences()) {
      replicaPeer.enqueue(sequence);
    }
    return replicaPeer;
  }
}
