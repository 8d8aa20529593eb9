import { afterEach, describe, expect, it } from 'vitest';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { ConfirmedView } from 'hickoryrelay-forwarding/ConfirmedView';
import { EndpointRegistry } from 'hickoryrelay-forwarding/EndpointRegistry';
import { EngineDemands } from 'hickoryrelay-forwarding/EngineDemands';
import { FencedCallResult, FencedPlatform } from 'hickoryrelay-forwarding/FencedPlatform';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';
import { PromptCacheDirectory } from 'hickoryrelay-forwarding/PromptCacheDirectory';
import { SupplyPlans } from 'hickoryrelay-forwarding/SupplyPlans';
import { SupplyTask } from 'hickoryrelay-forwarding/SupplyTask';
import { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';

import { HEARTBEAT_MILLISECONDS, makeConfiguration, makeEndpoint } from './ForwardingFixture.js';
import { RestorableStore, RestorableStoreClient } from './RestorableStore.js';

import type { EndpointRecord } from 'hickoryrelay-forwarding/EndpointRecord';
import type { SupplyLevel } from 'hickoryrelay-forwarding/FencedPlatform';

/** A platform that records the orders of supply and accepts them. */
class RecordingPlatform extends FencedPlatform {
  readonly orders: SupplyLevel[] = [];

  override orderSupply(_term: AuthorityTerm, level: SupplyLevel): Promise<FencedCallResult> {
    this.orders.push(level);
    return Promise.resolve(FencedCallResult.Accepted);
  }

  override reportUsage(): Promise<FencedCallResult> {
    return Promise.resolve(FencedCallResult.Unknown);
  }

  override orderStage(): Promise<FencedCallResult> {
    return Promise.resolve(FencedCallResult.Unknown);
  }
}

const ZONES = ['a', 'b', 'c', 'd'];

const lifecycles: LifecycleManager[] = [];

afterEach(async () => {
  for (const lifecycle of lifecycles.splice(0)) {
    await lifecycle.stop();
  }
});

/** Runs the task over a view with the given endpoints of a service in four zones. */
async function ordersFor(endpoints: readonly EndpointRecord[]): Promise<readonly SupplyLevel[]> {
  const clock = new ManualClock();
  const view = new ConfirmedView(clock, HEARTBEAT_MILLISECONDS);
  const zonePrices = new Map(ZONES.map((zone) => [zone, 1]));
  const supply = { minimum: 1, maximum: 4, reclaimablePrice: 0.2, zonePrices };
  const configuration = makeConfiguration({
    services: [{ name: 'desk', maximumConnections: 10, supply }],
  });
  view.apply({ configuration, endpoints, peers: [], isAuthorityHeld: true }, 0);
  const grant = { zone: 'z', holder: 'h', fencingNumber: 1, lease: '1' };
  const term = new AuthorityTerm(grant, clock, {
    requestedMilliseconds: 0,
    timeToLiveSeconds: 60,
    marginMilliseconds: 0,
  });
  const platform = new RecordingPlatform();
  const lifecycle = new LifecycleManager('test', clock, () => {});
  lifecycles.push(lifecycle);
  const registry = new EndpointRegistry(new PeerLoads());
  const demands = new EngineDemands({ view, registry, directory: new PromptCacheDirectory() });
  const plans = new SupplyPlans(new RestorableStoreClient(new RestorableStore(clock), clock));
  lifecycle.start(new SupplyTask(term, { view, platform, demands, plans, log: silentLogger }));
  await clock.advance(600);
  return platform.orders;
}

function endpointsIn(zones: readonly string[], count: number): EndpointRecord[] {
  return zones.flatMap((zone) =>
    Array.from({ length: count }, (_unused, index) =>
      makeEndpoint(`${zone}-${index}`, { zone, isReclaimable: true }),
    ),
  );
}

describe('SupplyTask', () => {
  it('orders nothing while each zone has its levels', async () => {
    expect(await ordersFor(endpointsIn(ZONES, 4))).toEqual([]);
  });

  // Guards against a zone that stays empty for good after all its endpoints have been reclaimed.
  it('orders endpoints for a zone that has none left', async () => {
    const orders = await ordersFor(endpointsIn(ZONES.slice(1), 4));
    expect(orders).toEqual([{ service: 'desk', zone: 'a', count: 4, isReclaimable: true }]);
  });
});
