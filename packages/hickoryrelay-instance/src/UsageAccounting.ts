import { FailureKind } from 'hickoryrelay/Failure';
import { LogPrefix } from 'hickoryrelay/Logger';
import { RelayError } from 'hickoryrelay/RelayError';
import { Authority } from 'hickoryrelay-usage/Authority';
import { InstanceLiveness } from 'hickoryrelay-usage/InstanceLiveness';
import { InstanceUsage } from 'hickoryrelay-usage/InstanceUsage';
import { usageTasks } from 'hickoryrelay-usage/UsageTasks';

import { HttpEngineUsageSource } from './HttpEngineUsageSource.js';
import { Liveness } from './Membership.js';
import type { InstanceDigest } from './InstanceDigest.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { PeerNetwork } from 'hickoryrelay-link/PeerNetwork';
import type { Comparison, KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';
import type { UsageReportSink } from 'hickoryrelay-platform/UsageReportSink';
import type { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';
import type { Fleet } from 'hickoryrelay-zone/Fleet';
import type { ZoneAuthority } from 'hickoryrelay-zone/ZoneAuthority';

/** Time for peers to acknowledge the last records when this instance shuts down. */
const FLUSH_WAIT_MILLISECONDS = 1000;

/** Adapts the zone authority to the interface that usage sealing needs. */
class ZoneUsageAuthority extends Authority {
  private readonly authority: ZoneAuthority;

  private readonly zoneName: string;

  constructor(authority: ZoneAuthority, zoneName: string) {
    super();
    this.authority = authority;
    this.zoneName = zoneName;
  }

  override get zone(): string {
    return this.zoneName;
  }

  override get fencingNumber(): number {
    return this.term.fencingNumber;
  }

  override get isHeld(): boolean {
    return this.authority.currentTerm !== undefined;
  }

  override get heldSinceMilliseconds(): number {
    return this.term.startedMilliseconds;
  }

  override assertHeld(): void {
    this.term.assertHeld();
  }

  override comparison(): Comparison {
    return this.term.holderComparison;
  }

  private get term(): AuthorityTerm {
    const term = this.authority.currentTerm;
    if (term === undefined) {
      throw new RelayError({
        kind: FailureKind.AuthorityLost,
        zone: this.zoneName,
        fencingNumber: 0,
      });
    }
    return term;
  }
}

/** Derives the liveness of instances from the heartbeats in digests. */
class DigestLiveness extends InstanceLiveness {
  private readonly digest: InstanceDigest;

  constructor(digest: InstanceDigest) {
    super();
    this.digest = digest;
  }

  override isDead(incarnation: string): boolean {
    return this.digest.liveness(incarnation) === Liveness.Dead;
  }
}

export interface UsageAccountingParts {
  readonly zone: string;
  readonly network: PeerNetwork;
  readonly digest: InstanceDigest;
  readonly authority: ZoneAuthority;
  readonly store: KeyValueStore;
  readonly sink: UsageReportSink;
  readonly fleet: Fleet;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly lifecycle: LifecycleManager;
  readonly log: (prefix: LogPrefix) => ComponentLogger;
}

/** Meters usage, holds records of other instances, seals usage windows and reports them. */
export class UsageAccounting {
  readonly usage: InstanceUsage;

  private readonly parts: UsageAccountingParts;

  constructor(parts: UsageAccountingParts) {
    this.parts = parts;
    const { zone, network, digest, authority, store, sink, fleet, clock, random, log } = parts;
    this.usage = new InstanceUsage({
      network,
      store,
      sink,
      authority: new ZoneUsageAuthority(authority, zone),
      liveness: new DigestLiveness(digest),
      engines: new HttpEngineUsageSource((identifier) => fleet.find(identifier)),
      clock,
      random,
      log: log(LogPrefix.Usage),
    });
  }

  start(): void {
    usageTasks(this.usage).forEach((task) => this.parts.lifecycle.start(task));
  }

  /** Sends the last records to the peers that replicate them, before this instance stops. */
  async flush(): Promise<void> {
    this.usage.meter.replicate();
    await this.parts.clock.sleep(FLUSH_WAIT_MILLISECONDS);
  }
}
