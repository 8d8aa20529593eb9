import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { SystemClock } from 'hickoryrelay/Clock';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { silentLogger } from 'hickoryrelay/Logger';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { CallCounter } from 'hickoryrelay-endpoint/Endpoint';
import { Engine } from 'hickoryrelay-endpoint/Engine';
import { EngineLoadTask } from 'hickoryrelay-instance/EngineLoadTasks';
import { EngineStatusLink } from 'hickoryrelay-link/EngineStatusLink';
import { EngineStandIn } from 'hickoryrelay-standin/EngineStandIn';

const KIND = {
  name: 'engine',
  serves: WorkKind.Model,
  models: ['model-one'],
  routes: [],
  checksFencing: true,
  reclaimable: false,
  costPerHour: 1,
};

describe('the load reports of an engine', () => {
  const clock = new SystemClock();
  const times = { prefillRate: 1234, decodeMilliseconds: 4 };
  let server: EngineStandIn;
  let place: { identifier: string; zone: string; url: string };

  beforeEach(async () => {
    server = new EngineStandIn(['model-one'], times);
    await server.listen();
    place = { identifier: 'engine-1', zone: 'zone-a', url: server.url };
  });

  afterEach(() => server.close());

  // Guards against a report that fails validation.
  it('contain the running calls and the measured rates', async () => {
    const { signal } = new AbortController();
    const call = fetch(`${server.url}/v1/completions`, {
      method: 'POST',
      body: JSON.stringify({ model: 'model-one', prompt: 'a'.repeat(4000), max_tokens: 1 }),
    });
    const link = new EngineStatusLink(place, clock);
    const report = await vi.waitUntil(async () => {
      const read = await link.readLoad(signal);
      return read?.running === 1 ? read : undefined;
    });
    expect(report).toMatchObject({ prefillRate: 1234, decodeRate: 250, waiting: 0 });
    expect(report.waitingPrefillTokens).toBeGreaterThanOrEqual(1000);
    await call;
    expect((await link.readLoad(signal))?.running).toBe(0);
  });

  // Guards against rates that stay at their defaults.
  it('update the load of the engine in the fleet', async () => {
    const engine = new Engine(place, KIND, new CallCounter());
    const lifecycle = new LifecycleManager('test', clock, () => {});
    lifecycle.start(new EngineLoadTask(engine, () => 10, silentLogger));
    await vi.waitUntil(() => engine.load.prefillRate === 1234);
    await lifecycle.stop();
    expect(engine.load.decodeRate).toBe(250);
  });
});
