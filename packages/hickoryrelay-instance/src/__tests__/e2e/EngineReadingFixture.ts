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

/** Real time that a read on loopback may take on a busy machine. */
const LONG_WAIT = { interval: 5, timeout: 20_000 };

/** A manual clock that knows which reads are under way: each has a time limit on the clock. */
export class ReadingClock extends ManualClock {
  startedReads = 0;

  openReads = 0;

  private isSleep = false;

  override sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    this.isSleep = true;
    try {
      return super.sleep(milliseconds, signal);
    } finally {
      this.isSleep = false;
    }
  }

  override schedule(milliseconds: number, action: () => void): () => void {
    if (this.isSleep) {
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

/** Draws the lowest number each time, so that delays with jitter are half of their ceilings. */
export class LowestRandomSource extends RandomSource {
  draws = 0;

  override fraction(): number {
    this.draws += 1;
    return 0;
  }

  override identifier(): string {
    return '0';
  }
}

/** Engines that share one address; their names are the first part of the path. */
export class ReadEngines extends EngineStandIn {
  /** Paths and queries of all reads, with the engine's name in front. */
  readonly reads: string[] = [];

  /** Reads whose answers are on the way back. */
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

/** A pool of engines on a clock that the test moves, and the owner of its tasks. */
export class EngineReadingFixture {
  readonly clock = new ReadingClock();

  /** Reads that get no answer; they stay open until the clock reaches their limit. */
  silentReads = 0;

  readonly random = new LowestRandomSource();

  readonly failures: Failure[] = [];

  readonly lifecycle = new LifecycleManager('test', this.clock, (owner, failure) => {
    this.failures.push(failure);
  });

  readonly fleet = new Fleet();

  readonly pool = new EndpointPool(new EndpointSubset('entry-1', 'zone-a'), this.fleet);

  readonly engines = new ReadEngines();

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

  /** Names of the engines read since the given number of reads, sorted. */
  readSince(count: number): string[] {
    const names = this.engines.reads.slice(count).map((read) => read.split('/')[0] ?? '');
    return [...new Set(names)].sort();
  }

  /** Names of the engines that the instance uses, sorted. */
  get members(): string[] {
    return this.pool.members.map(({ identifier }) => identifier).sort();
  }

  async waitForReads(count: number): Promise<void> {
    await vi.waitUntil(() => this.engines.answered >= count, LONG_WAIT);
    await this.settle();
  }

  /** Waits until the answers of all reads but the silent ones are taken in. */
  async settle(): Promise<void> {
    await vi.waitUntil(() => this.clock.openReads <= this.silentReads, LONG_WAIT);
  }

  /** Moves the clock in steps, with time for the reads that fall due in each. */
  async pass(milliseconds: number, stepMilliseconds = 500): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
      await this.clock.advance(Math.min(stepMilliseconds, milliseconds - passed));
      await this.settle();
    }
  }

  async stop(): Promise<void> {
    await this.lifecycle.stop();
    await this.engines.close();
  }
}
