import { invariant } from 'hickoryrelay/Invariant';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { hasFailureKind } from 'hickoryrelay/RelayError';
import { AccessKey } from 'hickoryrelay-contract/AccessKey';
import { splitIntoBuckets } from 'hickoryrelay-contract/ConfigurationBucket';
import { HEAD_KEY } from 'hickoryrelay-platform/ConfigurationStore';
import { FaultKind, FaultTally } from 'hickoryrelay-standin/FaultTally';
import { sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';
import { SimulatedFederation } from 'hickoryrelay-standin/SimulatedFederation';

import { authenticateCaller } from '../../CallerAuthentication.js';
import type { ConfigurationHead } from 'hickoryrelay-platform/ConfigurationStore';
import type { SimulatedInstance } from 'hickoryrelay-standin/SimulatedFederation';

export const STALE_KEY_SECONDS = 30;

const CHECK_INTERVAL_MILLISECONDS = 500;

/**
 * Peers that were linked for this many checks have had time to announce their revision to a
 * restarted instance.
 */
const LINKED_CHECKS = 3;

const ZONES: Readonly<Record<string, string>> = {
  'a-1': 'zone-a',
  'a-2': 'zone-a',
  'a-3': 'zone-a',
  'b-1': 'zone-b',
  'b-2': 'zone-b',
};

export const NAMES = Object.keys(ZONES);

interface Run {
  readonly instance: SimulatedInstance;
  readonly revisions: number[];
  /** Active revision of the previous run of the instance when it ended. */
  readonly previousRevision: number;
  /** Revisions of the linked peers at each check. */
  readonly peerRevisions: Map<string, number>[];
}

/** A simulated federation and the test oracle that checks its configurations. */
export class FederationModel {
  readonly federation: SimulatedFederation;

  readonly keyText: string;

  /** Digests of each revision that the platform accepted. */
  private readonly accepted = new Map<number, string>();

  private readonly runs = new Map<string, Run>();

  /** Runs for which the platform was unreachable at any check since their start. */
  private readonly runsWithoutPlatform = new Set<Run>();

  private readonly lastRevisions = new Map<string, number>();

  private readonly key: ReturnType<typeof AccessKey.issue>;

  private withdrawnMilliseconds: number | undefined;

  private changeCount = 0;

  constructor(seed: number, tally = new FaultTally()) {
    this.federation = new SimulatedFederation(seed, new ManualClock(), tally);
    this.key = AccessKey.issue(this.federation.random);
    this.keyText = this.key.text;
    this.federation.platform.table.subscribe(({ events }) => {
      for (const event of events) {
        if (event.type === 'put' && event.value.key === HEAD_KEY) {
          this.recordAccepted(JSON.parse(event.value.value) as ConfigurationHead);
        }
      }
    });
  }

  get newestRevision(): number {
    return Math.max(0, ...this.accepted.keys());
  }

  isRunning(name: string): boolean {
    return this.federation.instances.has(name);
  }

  async start(name: string): Promise<void> {
    const instance = await this.federation.start(name, ZONES[name] ?? '');
    const run: Run = {
      instance,
      revisions: [],
      previousRevision: this.lastRevisions.get(name) ?? 0,
      peerRevisions: [],
    };
    this.runs.set(name, run);
    instance.view.subscribe((declarations, revision) => {
      const digests = splitIntoBuckets(declarations.document).digests.join();
      invariant(
        this.accepted.get(revision) === digests,
        `${name} activated a configuration that differs from accepted revision ${revision}`,
      );
      this.checkRevision(run, revision);
      run.revisions.push(revision);
    });
  }

  kill(name: string): void {
    this.lastRevisions.set(name, this.runs.get(name)?.instance.view.revision ?? 0);
    this.runs.delete(name);
    this.federation.kill(name);
  }

  /** Applies a change as an operator. Returns whether the store reported success. */
  async apply(operator: string, withdraws = false): Promise<boolean> {
    const store = this.federation.operator(operator);
    this.changeCount += 1;
    const document = sampleDeclarations();
    document.staleKeySeconds = STALE_KEY_SECONDS;
    document.budget.costPerHour = 100 + this.changeCount;
    const isWithdrawn = withdraws || this.withdrawnMilliseconds !== undefined;
    document.accounts[0]!.keys = [{ ...this.key.declaration, withdrawn: isWithdrawn }];
    const { newestRevision } = this;
    try {
      await store.replace(document, newestRevision, {
        author: 'operator',
        summary: 'change',
        wallMilliseconds: this.federation.clock.wallMilliseconds(),
      });
    } catch (error) {
      const isExpected =
        hasFailureKind(error, 'revision-conflict') || hasFailureKind(error, 'platform-unavailable');
      invariant(isExpected, `replace failed with ${String(error)}`);
      if (hasFailureKind(error, 'revision-conflict')) {
        this.federation.tally.count(FaultKind.RevisionConflict);
      }
      return false;
    }
    return true;
  }

  /** Lets operators replace the same revision concurrently, with the first responses lost. */
  async race(operators: number, lostResponseCount: number): Promise<void> {
    const { clock, platform } = this.federation;
    const before = this.newestRevision;
    platform.remainingLostResponses = lostResponseCount;
    const attempts = Array.from({ length: operators }, () => this.apply('operator'));
    let isDone = false;
    const outcomes = Promise.all(attempts).finally(() => {
      isDone = true;
    });
    while (!isDone) {
      await clock.advance(100);
    }
    platform.remainingLostResponses = 0;
    const winners = (await outcomes).filter(Boolean).length;
    const isPlatformResponding =
      platform.isReachableFor('operator') && platform.responseDelayMilliseconds < 2000;
    invariant(winners <= 1, `${winners} concurrent changes were reported as successful`);
    if (isPlatformResponding) {
      invariant(winners === 1, 'none of the concurrent changes was reported as successful');
      invariant(this.newestRevision === before + 1, 'the race did not create exactly one revision');
    }
  }

  /** Withdraws the key permanently, if the platform accepts the change. */
  async withdrawKey(): Promise<void> {
    const { clock } = this.federation;
    const before = this.newestRevision;
    let isDone = false;
    const attempt = this.apply('operator', true).finally(() => {
      isDone = true;
    });
    while (!isDone) {
      await clock.advance(100);
    }
    await attempt;
    if (this.newestRevision > before) {
      this.withdrawnMilliseconds ??= clock.monotonicMilliseconds();
    }
  }

  /** Advances the clock and checks every run at each interval. */
  async advance(milliseconds: number): Promise<void> {
    for (
      let elapsedMilliseconds = 0;
      elapsedMilliseconds < milliseconds;
      elapsedMilliseconds += CHECK_INTERVAL_MILLISECONDS
    ) {
      await this.federation.clock.advance(CHECK_INTERVAL_MILLISECONDS);
      this.runs.forEach((run) => this.checkRun(run));
    }
  }

  /**
   * Ends all faults and asserts that every live instance has the newest revision, recently
   * confirmed, within 19 s.
   */
  async assertConvergence(): Promise<void> {
    this.federation.clearFaults();
    await this.advance(19_000);
    for (const [name, { instance }] of this.runs) {
      invariant(
        instance.view.revision === this.newestRevision,
        `${name} has revision ${instance.view.revision}, but the newest is ${this.newestRevision}`,
      );
      if (this.newestRevision > 0) {
        const confirmationAgeMilliseconds = instance.view.ageMilliseconds;
        invariant(
          confirmationAgeMilliseconds < 19_000,
          `the view of ${name} was confirmed ${confirmationAgeMilliseconds} ms ago`,
        );
      }
      const unexpected = instance.failures.filter(({ kind }) => kind === 'invariant-violated');
      invariant(unexpected.length === 0, `${name}: ${JSON.stringify(unexpected)}`);
    }
  }

  /**
   * Ends all faults except a platform outage and asserts that, within 19 s, each live instance has
   * the same revision as the peers it is linked to, and a confirmation about as recent.
   */
  async assertConvergenceWithoutPlatform(): Promise<void> {
    this.federation.clearFaults();
    this.federation.platform.isUnavailable = true;
    await this.advance(19_000);
    for (const [name, { instance }] of this.runs) {
      const { membership, network } = instance.controlPlane;
      const linked = new Set(network.connectedPeers().map((peer) => peer.name));
      for (const { row } of membership.activeMembers()) {
        const peer = row.identity;
        const isNeighbour = peer.zone === instance.zone && this.isRunning(peer.name);
        invariant(!isNeighbour || linked.has(peer.name), `${name} has no link to ${peer.name}`);
      }
      for (const peerName of linked) {
        const view = this.runs.get(peerName)?.instance.view;
        invariant(view !== undefined, `${name} has a link to ${peerName}, which is not running`);
        invariant(
          view.revision === instance.view.revision,
          `${name} has revision ${instance.view.revision}, ${peerName} has ${view.revision}`,
        );
        // At each of two hops the age may lag by up to two heartbeats.
        const isBehind = instance.view.ageMilliseconds > view.ageMilliseconds + 5000;
        invariant(!isBehind, `the confirmation of ${name} is much older than that of ${peerName}`);
      }
    }
  }

  private recordAccepted(head: ConfigurationHead): void {
    invariant(!this.accepted.has(head.revision), `revision ${head.revision} was accepted twice`);
    this.accepted.set(head.revision, head.digests.join());
  }

  private checkRevision(run: Run, revision: number): void {
    const { name, view } = run.instance;
    const last = run.revisions.at(-1);
    invariant(last === undefined || revision > last, `${name} went from ${last} to ${revision}`);
    invariant(view.revision === revision, `${name} reports a revision that is not active`);
    if (last === undefined) {
      const obtainable = this.obtainableRevision(run);
      const minimum = Math.min(run.previousRevision, obtainable);
      invariant(
        revision >= minimum,
        `${name} restarted with ${revision}, ${minimum} was reachable`,
      );
    }
  }

  /** Revision that a starting instance can obtain from the platform, or from stable peers. */
  private obtainableRevision(run: Run): number {
    if (!this.runsWithoutPlatform.has(run)) {
      return this.newestRevision;
    }
    const checks = run.peerRevisions.slice(-LINKED_CHECKS);
    const first = checks[0];
    if (first === undefined || checks.length < LINKED_CHECKS) {
      return 0;
    }
    const stable = [...first].filter(([peer]) => checks.every((slice) => slice.has(peer)));
    return Math.max(0, ...stable.map(([, revision]) => revision));
  }

  private checkRun(run: Run): void {
    const { instance } = run;
    if (instance.isPaused) {
      run.peerRevisions.splice(0);
      return;
    }
    const { platform, clock } = this.federation;
    const isPlatformReachable =
      platform.isReachableFor(instance.name) && platform.responseDelayMilliseconds < 2000;
    if (!isPlatformReachable) {
      this.runsWithoutPlatform.add(run);
    }
    const linked = instance.controlPlane.network
      .connectedPeers()
      .map(({ name }) => [name, this.runs.get(name)] as const)
      .filter(([, peer]) => peer !== undefined && !peer.instance.isPaused)
      .map(([name, peer]) => [name, peer?.instance.view.revision ?? 0] as const);
    run.peerRevisions.push(new Map(linked));
    const withdrawnForMilliseconds =
      clock.monotonicMilliseconds() - (this.withdrawnMilliseconds ?? Number.POSITIVE_INFINITY);
    // The age is rounded down to whole seconds, which allows one more second.
    const limitMilliseconds = (STALE_KEY_SECONDS + 1) * 1000;
    invariant(
      withdrawnForMilliseconds <= limitMilliseconds || !this.acceptsKey(instance),
      `${instance.name} accepts a key that was withdrawn ${withdrawnForMilliseconds} ms ago`,
    );
  }

  private acceptsKey(instance: SimulatedInstance): boolean {
    try {
      authenticateCaller(instance.view, this.keyText);
      return true;
    } catch {
      return false;
    }
  }
}
