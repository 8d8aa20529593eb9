import { vi } from 'vitest';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { RandomSource } from 'hickoryrelay/RandomSource';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { SupplyState } from 'hickoryrelay-platform/EndpointSupply';
import { EngineStandIn } from 'hickoryrelay-standin/EngineStandIn';
import { EndpointPool } from 'hickoryrelay-zone/EndpointPool';
import { EndpointSubset } from 'hickoryrelay-zone/EndpointSubset';
import { Fleet } from 'hickoryrelay-zone/Fleet';

import type { Failure } from 'hickoryrelay/Failure';
import type { JsonResponse, ReceivedRequest } from 'hickoryrelay-standin/JsonServer';

export const KIND = {
  name: 'engine',
  serves: WorkKind.Model,
  models: ['model-one'],
  routes: [],
  checksFencing: true,
  reclaimable: false,
  costPerHour: 1,
};

/** Allows for slow reads on loopback on a busy machine. */
const WAIT_OPTIONS = { interval: 5, timeout: 20_000 };

/**
 * A manual clock that counts started and open reads. Each read schedules its timeout on the clock
 * and cancels it when it ends.
 */
export class PollingClock extends ManualClock {
  startedReads = 0;

  openReads = 0;

  private isSleeping = false;

  override sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    this.isSleeping = true;
    try {
      return super.sleep(milliseconds, signal);
    } finally {
      this.isSleeping = false;
    }
  }

  override schedule(milliseconds: number, action: () => void): () => void {
    if (this.isSleeping) {
      return super.schedule(milliseconds, action);
    }
    this.startedReads += 1;
    this.openReads += 1;
    const cancel = super.schedule(milliseconds, action);
    return () => {
      this.openReads -= 1;
      cancel();
    };
  }
}

/** Always returns the minimum, so that jittered delays are half of their maximum. */
export class MinimumRandomSource extends RandomSource {
  draws = 0;

  override fraction(): number {
    this.draws += 1;
    return 0;
  }

  override identifier(): string {
    return '0';
  }
}

/** Several engines on one address; the first segment of the path is the engine's name. */
export class RecordingEngineStandIn extends EngineStandIn {
  /** Paths and queries of all reads, prefixed with the engine's name. */
  readonly reads: string[] = [];

  /** Number of reads for which a response was created. */
  answered = 0;

  constructor() {
    super(['model-one'], { prefillRate: 1000, decodeMilliseconds: 1 });
  }

  protected override async answer(request: ReceivedRequest): Promise<JsonResponse> {
    const [, name = '', ...rest] = request.path.split('/');
    const query = request.query.size === 0 ? '' : `?${request.query.toString()}`;
    this.reads.push(`${name}/${rest.join('/')}${query}`);
    const answer = await super.answer({ ...request, path: `/${rest.join('/')}` });
    this.answered += 1;
    return answer;
  }
}

/** A pool of engines on a manual clock, with the lifecycle manager of its tasks. */
export class EnginePollingFixture {
  readonly clock = new PollingClock();

  /** Number of reads without a response; they stay open until they time out on the clock. */
  silentReads = 0;

  readonly random = new MinimumRandomSource();

  readonly failures: Failure[] = [];

  readonly lifecycle = new LifecycleManager('test', this.clock, (owner, failure) => {
    this.failures.push(failure);
  });

  readonly fleet = new Fleet();

  readonly pool = new EndpointPool(new EndpointSubset('entry-1', 'zone-a'), this.fleet);

  readonly engines = new RecordingEngineStandIn();

  supply(count: number): void {
    const supplied = Array.from({ length: count }, (empty, index) => ({
      identifier: `engine-${index}`,
      kind: KIND.name,
      zone: 'zone-a',
      url: `${this.engines.url}/engine-${index}`,
      state: SupplyState.Live,
    }));
    this.fleet.update(supplied, new Map([[KIND.name, KIND]]));
  }

  /** Names of the engines of all reads after the first `count`, sorted. */
  enginesReadSince(count: number): string[] {
    const names = this.engines.reads.slice(count).map((read) => read.split('/')[0] ?? '');
    return [...new Set(names)].sort();
  }

  /** Names of the engines that the instance uses, sorted. */
  get members(): string[] {
    return this.pool.members.map(({ identifier }) => identifier).sort();
  }

  async waitForReads(count: number): Promise<void> {
    await vi.waitUntil(() => this.engines.answered >= count, WAIT_OPTIONS);
    await this.settle();
  }

  /** Waits until all reads except the silent ones have ended. */
  async settle(): Promise<void> {
    await vi.waitUntil(() => this.clock.openReads <= this.silentReads, WAIT_OPTIONS);
  }

  /** Advances the clock in steps, and waits for the reads that become due in each. */
  async advance(milliseconds: number, stepMilliseconds = 500): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += stepMilliseconds) {
      await this.clock.advance(Math.min(stepMilliseconds, milliseconds - elapsed));
      await this.settle();
    }
  }

  async stop(): Promise<void> {
    await this.lifecycle.stop();
    await this.engines.close();
  }
}
