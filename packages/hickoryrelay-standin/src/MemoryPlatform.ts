import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { InstanceList } from 'hickoryrelay-platform/InstanceList';

import { FaultKind, FaultTally } from './FaultTally.js';
import { KeyValueTable } from './KeyValueTable.js';
import { TableKeyValueStore } from './TableKeyValueStore.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ListedInstance } from 'hickoryrelay-platform/InstanceList';

const TIMEOUT_MILLISECONDS = 2000;
const DEFAULT_DELAY_MILLISECONDS = 2;

function createTimeoutError(mayHaveTakenEffect: boolean): RelayError {
  return new RelayError({
    kind: FailureKind.PlatformUnavailable,
    service: 'memory platform',
    reason: 'no response',
    mayHaveTakenEffect,
  });
}

/** In-memory platform services with fault injection, used without sockets. */
export class MemoryPlatform {
  readonly table: KeyValueTable;

  /** Counts the injected faults that took effect. */
  tally = new FaultTally();

  readonly instances = new Map<string, ListedInstance>();

  /** Names of callers whose requests to every service time out. */
  readonly unreachableCallers = new Set<string>();

  isUnavailable = false;

  /** If true, watches stay open but deliver no events. */
  silencesWatches = false;

  /** Delay between the effect of a call and its response. */
  responseDelayMilliseconds = DEFAULT_DELAY_MILLISECONDS;

  watchDelayMilliseconds = DEFAULT_DELAY_MILLISECONDS;

  /** Number of upcoming writes that take effect but whose response is lost. */
  remainingLostResponses = 0;

  constructor(clock: Clock) {
    this.table = new KeyValueTable(clock);
  }

  clearFaults(): void {
    this.isUnavailable = false;
    this.silencesWatches = false;
    this.responseDelayMilliseconds = DEFAULT_DELAY_MILLISECONDS;
    this.watchDelayMilliseconds = DEFAULT_DELAY_MILLISECONDS;
    this.remainingLostResponses = 0;
    this.unreachableCallers.clear();
  }

  isReachableFor(caller: string): boolean {
    return !this.isUnavailable && !this.unreachableCallers.has(caller);
  }

  /** Applies the effect immediately, then responds after the configured delay or times out. */
  async call<Answer>(
    caller: string,
    clock: Clock,
    isWrite: boolean,
    effect: () => Answer,
  ): Promise<Answer> {
    const isReachable = this.isReachableFor(caller);
    this.countFault(isReachable, isWrite);
    const outcome = isReachable ? { answer: effect() } : undefined;
    const isLost = isWrite && this.remainingLostResponses > 0;
    this.remainingLostResponses -= isLost ? 1 : 0;
    const delay = isReachable && !isLost ? this.responseDelayMilliseconds : TIMEOUT_MILLISECONDS;
    await clock.sleep(Math.min(delay, TIMEOUT_MILLISECONDS));
    if (outcome === undefined || delay >= TIMEOUT_MILLISECONDS) {
      throw createTimeoutError(isWrite);
    }
    return outcome.answer;
  }

  private countFault(isReachable: boolean, isWrite: boolean): void {
    if (!isReachable) {
      this.tally.count(FaultKind.Outage);
    } else if (isWrite && this.remainingLostResponses > 0) {
      this.tally.count(FaultKind.LostResponse);
    } else if (this.responseDelayMilliseconds > DEFAULT_DELAY_MILLISECONDS) {
      this.tally.count(FaultKind.DelayedRequest);
    }
  }
}

/** One caller's client of the in-memory key-value service. */
export class MemoryKeyValueStore extends TableKeyValueStore {
  private readonly platform: MemoryPlatform;

  private readonly caller: string;

  private readonly clock: Clock;

  constructor(platform: MemoryPlatform, caller: string, clock: Clock) {
    super(platform.table, clock);
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
    if (watchDelayMilliseconds > DEFAULT_DELAY_MILLISECONDS) {
      tally.count(FaultKind.DelayedWatch);
    }
    this.clock.schedule(watchDelayMilliseconds, arrive);
  }

  protected override createWatchError(): Error {
    return createTimeoutError(false);
  }
}

/** One caller's client of the in-memory instance list. */
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
