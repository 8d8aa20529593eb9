import { afterEach, describe, expect, it } from 'vitest';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { ConfirmedView } from 'hickoryrelay-forwarding/ConfirmedView';
import { EngineStage } from 'hickoryrelay-forwarding/EndpointRecord';
import { EndpointRegistry } from 'hickoryrelay-forwarding/EndpointRegistry';
import { EngineDemands } from 'hickoryrelay-forwarding/EngineDemands';
import { FencedCallResult, FencedPlatform } from 'hickoryrelay-forwarding/FencedPlatform';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';
import { PromptCacheDirectory } from 'hickoryrelay-forwarding/PromptCacheDirectory';
import { StageTask } from 'hickoryrelay-forwarding/StageTask';
import { SupplyPlans } from 'hickoryrelay-forwarding/SupplyPlans';
import { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';

import { HEARTBEAT_MILLISECONDS, makeConfiguration, makeEndpoint } from './ForwardingFixture.js';
import { RestorableStore, RestorableStoreClient } from './RestorableStore.js';

import type { EndpointRecord } from 'hickoryrelay-forwarding/EndpointRecord';

/** A platform that records the engines that it orders to change their stage. */
class RecordingPlatform extends FencedPlatform {
  readonly ordered: string[] = [];

  override orderStage(_term: AuthorityTerm, engine: EndpointRecord): Promise<FencedCallResult> {
    this.ordered.push(engine.identifier);
    return Promise.resolve(FencedCallResult.Accepted);
  }

  override reportUsage(): Promise<FencedCallResult> {
    return Promise.resolve(FencedCallResult.Unknown);
  }

  override orderSupply(): Promise<FencedCallResult> {
    return Promise.resolve(FencedCallResult.Unknown);
  }
}

const PERIOD_MILLISECONDS = 800;

const lifecycles: LifecycleManager[] = [];

afterEach(async () => {
  for (const lifecycle of lifecycles.splice(0)) {
    await lifecycle.stop();
  }
});

/** Runs the task over a view of decode engines, of which one should become a prefill engine. */
function startTask() {
  const clock = new ManualClock();
  const view = new ConfirmedView(clock, HEARTBEAT_MILLISECONDS);
  const registry = new EndpointRegistry(new PeerLoads());
  const endpoints = ['engine-1', 'engine-22'].map((identifier) =>
    makeEndpoint(identifier, { service: 'model', stage: EngineStage.Decode }),
  );
  const configuration = makeConfiguration();
  view.apply({ configuration, endpoints, peers: [], isAuthorityHeld: true }, 0);
  registry.replace(endpoints);
  const grant = { zone: 'z', holder: 'h', fencingNumber: 1, lease: '1' };
  const term = new AuthorityTerm(grant, clock, {
    requestedMilliseconds: 0,
    timeToLiveSeconds: 60,
    marginMilliseconds: 0,
  });
  const platform = new RecordingPlatform();
  const lifecycle = new LifecycleManager('test', clock, () => {});
  lifecycles.push(lifecycle);
  const demands = new EngineDemands({ view, registry, directory: new PromptCacheDirectory() });
  const plans = new SupplyPlans(new RestorableStoreClient(new RestorableStore(clock), clock));
  lifecycle.start(
    new StageTask(term, { view, registry, platform, demands, plans, log: silentLogger }),
  );
  return { clock, registry, platform };
}

describe('StageTask', () => {
  it('orders an engine to change its stage', async () => {
    const { clock, platform } = startTask();
    await clock.advance(PERIOD_MILLISECONDS);
    expect(platform.ordered).toEqual(['engine-1']);
  });

  // Guards against orders that reach an engine in the time for which it asked for no requests.
  it('sends no order to an engine that takes no requests', async () => {
    const { clock, registry, platform } = startTask();
    for (const { availability } of registry.readyEndpoints('model')) {
      const notice = { isLeaving: false, backoffMilliseconds: 5000, isAccepted: false };
      availability.receive(notice, availability.startRequest(0), 0);
    }
    await clock.advance(4000);
    expect(platform.ordered).toEqual([]);
    await clock.advance(1000 + PERIOD_MILLISECONDS);
    expect(platform.ordered).toEqual(['engine-1']);
  });

  // Guards against orders beyond the rate limit of an engine.
  it('sends an order to an engine with a rate limit when it has a token', async () => {
    const { clock, registry, platform } = startTask();
    for (const { availability } of registry.readyEndpoints('model')) {
      availability.rateLimit.receive({ requestsPerSecond: 0.5 }, 0, 0);
    }
    await clock.advance(1900);
    expect(platform.ordered).toEqual([]);
    await clock.advance(100 + PERIOD_MILLISECONDS);
    expect(platform.ordered).toEqual(['engine-1']);
    expect(registry.readyEndpoints('model')[0]?.availability.allowsRequest(2800)).toBe(false);
  });
});
