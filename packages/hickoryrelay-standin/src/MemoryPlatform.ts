import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { InstanceList } from 'hickoryrelay-platform/InstanceList';

import { FaultKind, FaultTally } from './FaultTally.js';
import { KeyValueTable } from './KeyValueTable.js';
import { TableKeyValueStore } from './TableKeyValueStore.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ListedInstance } from 'hickoryrelay-platform/InstanceList';

const TIMEOUT_MILLISECONDS = 2000;
const USUAL_DELAY_MILLISECONDS = 2;

function unanswered(mayHaveTakenEffect: boolean): RelayError {
  return new RelayError({
    kind: FailureKind.PlatformUnavailable,
    service: 'memory platform',
    reason: 'no answer',
    mayHaveTakenEffect,
  });
}

/** The platform's services in memory, with faults. For tests and measurements without sockets. */
export class MemoryPlatform {
  readonly table: KeyValueTable;

  /** Takes the faults that took effect. */
  tally = new FaultTally();

  readonly instances = new Map<string, ListedInstance>();

  /** Names of callers that get no answer from any service. */
  readonly unreachableFor = new Set<string>();

  isOut = false;

  /** If true, watches stay open and stop sending. */
  silencesWatches = false;

  /** Time from the effect of a call to its answer. */
  answerDelayMilliseconds = USUAL_DELAY_MILLISECONDS;

  watchDelayMilliseconds = USUAL_DELAY_MILLISECONDS;

  /** Number of transactions to come that take effect without an answer. */
  lostAnswers = 0;

  constructor(clock: Clock) {
    this.table = new KeyValueTable(clock);
  }

  /** Ends all faults. */
  heal(): void {
    this.isOut = false;
    this.silencesWatches = false;
    this.answerDelayMilliseconds = USUAL_DELAY_MILLISECONDS;
    this.watchDelayMilliseconds = USUAL_DELAY_MILLISECONDS;
    this.lostAnswers = 0;
    this.unreachableFor.clear();
  }

  isReachableFor(caller: string): boolean {
    return !this.isOut && !this.unreachableFor.has(caller);
  }

  /** Answers a call after the usual delay, or times out. The effect comes at once. */
  async call<Answer>(
    caller: string,
    clock: Clock,
    isWrite: boolean,
    effect: () => Answer,
  ): Promise<Answer> {
    const isReachable = this.isReachableFor(caller);
    this.countFault(isReachable, isWrite);
    const outcome = isReachable ? { answer: effect() } : undefined;
    const isLost = isWrite && this.lostAnswers > 0;
    this.lostAnswers -= isLost ? 1 : 0;
    const delay = isReachable && !isLost ? this.answerDelayMilliseconds : TIMEOUT_MILLISECONDS;
    await clock.sleep(Math.min(delay, TIMEOUT_MILLISECONDS));
    if (outcome === undefined || delay >= TIMEOUT_MILLISECONDS) {
      throw unanswered(isWrite);
    }
    return outcome.answer;
  }

  private countFault(isReachable: boolean, isWrite: boolean): void {
    if (!isReachable) {
      this.tally.count(FaultKind.Outage);
    } else if (isWrite && this.lostAnswers > 0) {
      this.tally.count(FaultKind.LostAnswer);
    } else if (this.answerDelayMilliseconds > USUAL_DELAY_MILLISECONDS) {
      this.tally.count(FaultKind.DelayedRequest);
    }
  }
}

/** The key-value service of a platform in memory, as one caller sees it. */
export class MemoryKeyValueStore extends TableKeyValueStore {
  private readonly platform: MemoryPlatform;

  private readonly caller: string;

  private readonly clock: Clock;

  constructor(platform: MemoryPlatform, caller: string, clock: Clock) {
    super(platform.table);
    this.platform = platform;
    this.caller = caller;
    this.clock = clock;
  }

  protected override read<Answer>(effect: () => Answer): Promise<Answer> {
    return this.platform.call(this.caller, this.clock, false, effect);
  }

  protected override write<Answer>(effect: () => Answer): Promise<Answer> {
    return this.platform.call(this.caller, this.clock, true, effect);
  }

  protected override deliver(arrive: () => void): void {
    const { silencesWatches, tally, watchDelayMilliseconds } = this.platform;
    if (silencesWatches || !this.platform.isReachableFor(this.caller)) {
      tally.count(FaultKind.SilentWatch);
      return;
    }
    if (watchDelayMilliseconds > USUAL_DELAY_MILLISECONDS) {
      tally.count(FaultKind.DelayedWatch);
    }
    this.clock.schedule(watchDelayMilliseconds, arrive);
  }

  protected override brokenWatch(): Error {
    return unanswered(false);
  }
}

/** The instance list of a platform in memory, as one caller sees it. */
export class MemoryInstanceList extends InstanceList {
  private readonly platform: MemoryPlatform;

  private readonly caller: string;

  private readonly clock: Clock;

  constructor(platform: MemoryPlatform, caller: string, clock: Clock) {
    super();
    this.platform = platform;
    this.caller = caller;
    this.clock = clock;
  }

  override list(): Promise<readonly ListedInstance[]> {
    const { platform } = this;
    return platform.call(this.caller, this.clock, false, () => [...platform.instances.values()]);
  }

  override async register(instance: ListedInstance): Promise<void> {
    const { platform } = this;
    await platform.call(this.caller, this.clock, true, () =>
      platform.instances.set(instance.name, instance),
    );
  }
}
