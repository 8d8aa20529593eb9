import { invariant } from 'hickoryrelay/Invariant';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { hasFailureKind } from 'hickoryrelay/RelayError';
import { AccessKey } from 'hickoryrelay-contract/AccessKey';
import { bucketsOf } from 'hickoryrelay-contract/ConfigurationBucket';
import { HEAD_KEY } from 'hickoryrelay-platform/ConfigurationStore';
import { FaultKind, FaultTally } from 'hickoryrelay-standin/FaultTally';
import { sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';
import { SimulatedFederation } from 'hickoryrelay-standin/SimulatedFederation';

import { authenticateCaller } from '../../CallerAuthentication.js';
import type { ConfigurationHead } from 'hickoryrelay-platform/ConfigurationStore';
import type { SimulatedInstance } from 'hickoryrelay-standin/SimulatedFederation';

export const STALE_KEY_SECONDS = 30;

const SLICE_MILLISECONDS = 500;

/** Peers linked for this long have had time to name their revision to a restarted instance. */
const LINKED_SLICES = 3;

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
  /** Revision of the previous run of the same name when it ended. */
  readonly previousRevision: number;
  /** For each slice: revisions of the peers that were linked. */
  readonly peerRevisions: Map<string, number>[];
}

/** A simulated federation with the oracle that judges it. */
export class FederationModel {
  readonly federation: SimulatedFederation;

  readonly keyText: string;

  /** Digests of each accepted revision, as the platform recorded them. */
  private readonly accepted = new Map<number, string>();

  private readonly runs = new Map<string, Run>();

  /** Runs that could not reach the platform at some time since their start. */
  private readonly cutOff = new Set<Run>();

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
          this.accept(JSON.parse(event.value.value) as ConfigurationHead);
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
      const digests = bucketsOf(declarations.document).digests.join();
      invariant(
        this.accepted.get(revision) === digests,
        `${name} runs something else than what was accepted as revision ${revision}`,
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

  /** Applies a change as one operator. Returns whether the store reports success. */
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
        this.federation.tally.count(FaultKind.LostRace);
      }
      return false;
    }
    return true;
  }

  /** Lets operators race for the same revision, with the first answers lost. */
  async race(operators: number, lostAnswers: number): Promise<void> {
    const { clock, platform } = this.federation;
    const before = this.newestRevision;
    platform.lostAnswers = lostAnswers;
    const attempts = Array.from({ length: operators }, () => this.apply('operator'));
    let isDone = false;
    const outcomes = Promise.all(attempts).finally(() => {
      isDone = true;
    });
    while (!isDone) {
      await clock.advance(100);
    }
    platform.lostAnswers = 0;
    const winners = (await outcomes).filter(Boolean).length;
    const isAnswering =
      platform.isReachableFor('operator') && platform.answerDelayMilliseconds < 2000;
    invariant(winners <= 1, `${winners} racing operators were told that they won`);
    if (isAnswering) {
      invariant(winners === 1, 'no racing operator was told that it won');
      invariant(this.newestRevision === before + 1, 'the race did not give one revision');
    }
  }

  /** Withdraws the key for good, if the platform takes the change. */
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

  /** Lets time pass, and judges every slice of it. */
  async elapse(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += SLICE_MILLISECONDS) {
      await this.federation.clock.advance(SLICE_MILLISECONDS);
      this.runs.forEach((run) => this.judge(run));
    }
  }

  /** After all faults have ended, every live instance has the newest revision within 19 s. */
  async judgeEnd(): Promise<void> {
    this.federation.heal();
    await this.elapse(19_000);
    for (const [name, { instance }] of this.runs) {
      invariant(
        instance.view.revision === this.newestRevision,
        `${name} has revision ${instance.view.revision}, the newest is ${this.newestRevision}`,
      );
      if (this.newestRevision > 0) {
        const age = instance.view.ageMilliseconds;
        invariant(age < 19_000, `the view of ${name} was confirmed ${age} ms ago`);
      }
      const unforeseen = instance.failures.filter(({ kind }) => kind === 'invariant-violated');
      invariant(unforeseen.length === 0, `${name}: ${JSON.stringify(unforeseen)}`);
    }
  }

  /**
   * After all faults but the platform's have ended, peers alone bring each live instance the newest
   * revision of all that it is linked to, and the freshest confirmation, within 19 s.
   */
  async judgeEndWithoutPlatform(): Promise<void> {
    this.federation.heal();
    this.federation.platform.isOut = true;
    await this.elapse(19_000);
    for (const [name, { instance }] of this.runs) {
      const { membership, network } = instance.controlPlane;
      const linked = new Set(network.connectedPeers().map((peer) => peer.name));
      for (const { row } of membership.present()) {
        const peer = row.identity;
        const isNeighbour = peer.zone === instance.zone && this.isRunning(peer.name);
        invariant(!isNeighbour || linked.has(peer.name), `${name} has no link to ${peer.name}`);
      }
      for (const peerName of linked) {
        const view = this.runs.get(peerName)?.instance.view;
        invariant(view !== undefined, `${name} counts ${peerName} as linked, which is gone`);
        invariant(
          view.revision === instance.view.revision,
          `${name} has revision ${instance.view.revision}, ${peerName} has ${view.revision}`,
        );
        // The age loses up to two heartbeats at each of two hops.
        const isBehind = instance.view.ageMilliseconds > view.ageMilliseconds + 5000;
        invariant(!isBehind, `the view of ${name} is confirmed much later than ${peerName}'s`);
      }
    }
  }

  private accept(head: ConfigurationHead): void {
    invariant(!this.accepted.has(head.revision), `revision ${head.revision} was accepted twice`);
    this.accepted.set(head.revision, head.digests.join());
  }

  private checkRevision(run: Run, revision: number): void {
    const { name, view } = run.instance;
    const last = run.revisions.at(-1);
    invariant(last === undefined || revision > last, `${name} went from ${last} to ${revision}`);
    invariant(view.revision === revision, `${name} reports a revision that is not in force`);
    if (last === undefined) {
      const reachable = this.reachableRevision(run);
      const floor = Math.min(run.previousRevision, reachable);
      invariant(revision >= floor, `${name} restarted with ${revision}, ${floor} was reachable`);
    }
  }

  /** Revision that a starting instance could get: from the platform, or from steady peers. */
  private reachableRevision(run: Run): number {
    if (!this.cutOff.has(run)) {
      return this.newestRevision;
    }
    const slices = run.peerRevisions.slice(-LINKED_SLICES);
    const first = slices[0];
    if (first === undefined || slices.length < LINKED_SLICES) {
      return 0;
    }
    const steady = [...first].filter(([peer]) => slices.every((slice) => slice.has(peer)));
    return Math.max(0, ...steady.map(([, revision]) => revision));
  }

  private judge(run: Run): void {
    const { instance } = run;
    if (instance.isPaused) {
      run.peerRevisions.splice(0);
      return;
    }
    const { platform, clock } = this.federation;
    const isReached =
      platform.isReachableFor(instance.name) && platform.answerDelayMilliseconds < 2000;
    if (!isReached) {
      this.cutOff.add(run);
    }
    const linked = instance.controlPlane.network
      .connectedPeers()
      .map(({ name }) => [name, this.runs.get(name)] as const)
      .filter(([, peer]) => peer !== undefined && !peer.instance.isPaused)
      .map(([name, peer]) => [name, peer?.instance.view.revision ?? 0] as const);
    run.peerRevisions.push(new Map(linked));
    const withdrawnFor =
      clock.monotonicMilliseconds() - (this.withdrawnMilliseconds ?? Number.POSITIVE_INFINITY);
    // The age is compared in whole seconds, which allows one second more.
    const limit = (STALE_KEY_SECONDS + 1) * 1000;
    invariant(
      withdrawnFor <= limit || !this.acceptsKey(instance),
      `${instance.name} accepts a key that was withdrawn ${withdrawnFor} ms ago`,
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
