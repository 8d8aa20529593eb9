import { describe, expect, it } from 'vitest';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { ConfirmedView } from 'hickoryrelay-forwarding/ConfirmedView';
import { EndpointRegistry } from 'hickoryrelay-forwarding/EndpointRegistry';
import { InstanceRateLimitShares } from 'hickoryrelay-forwarding/InstanceRateLimitShares';
import { LoadExchangeTask } from 'hickoryrelay-forwarding/LoadExchangeTask';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';
import { PromptCacheDirectory } from 'hickoryrelay-forwarding/PromptCacheDirectory';
import { RateLimitExchange } from 'hickoryrelay-forwarding/RateLimitExchange';
import { ZoneRelaySelector } from 'hickoryrelay-forwarding/ZoneRelaySelector';
import { RateKind } from 'hickoryrelay-workload/RateReport';

import { HEARTBEAT_MILLISECONDS, makeEndpoint } from './ForwardingFixture.js';
import { InMemoryPeerNetwork, makePeer } from './InMemoryPeerNetwork.js';

import type { EndpointState } from 'hickoryrelay-forwarding/EndpointState';
import type { PeerRecord } from 'hickoryrelay-forwarding/PeerRecord';
import type { WorkloadModel } from 'hickoryrelay-workload/WorkloadModel';

const CACHE_CAPACITY_TOKENS = 350_000;

const ENDPOINT = makeEndpoint('engine-1', { service: 'model' });

/** Instances that exchange their load over an in-memory network. */
class TestCluster {
  readonly clock = new ManualClock();

  readonly network = new InMemoryPeerNetwork();

  readonly instances: readonly {
    readonly peer: PeerRecord;
    readonly state: EndpointState;
    readonly directory: PromptCacheDirectory;
    readonly workload: WorkloadModel;
  }[];

  constructor(zones: readonly string[], instancesPerZone: number) {
    const peers = zones.flatMap((zone, zoneIndex) =>
      Array.from({ length: instancesPerZone }, (_unused, index) =>
        makePeer(zoneIndex * instancesPerZone + index, zone, index === 0 ? 1 : 0.3),
      ),
    );
    const lifecycle = new LifecycleManager('test', this.clock, () => {});
    this.instances = peers.map((peer) => {
      const view = new ConfirmedView(this.clock, HEARTBEAT_MILLISECONDS);
      const snapshot = { configuration: undefined, endpoints: [ENDPOINT], isAuthorityHeld: false };
      view.apply({ ...snapshot, peers }, 0);
      const loads = new PeerLoads();
      const shares = new InstanceRateLimitShares(peer.instance, this.clock);
      shares.setInstances(
        peers.map(({ instance }) => instance),
        0,
      );
      const registry = new EndpointRegistry(loads, shares);
      registry.replace([ENDPOINT]);
      const directory = new PromptCacheDirectory();
      lifecycle.start(
        new LoadExchangeTask({
          self: peer,
          channel: this.network.channelOf(peer),
          view,
          registry,
          loads,
          directory,
          rateLimits: new RateLimitExchange({
            registry,
            shares,
            clock: this.clock,
            log: silentLogger,
          }),
          relaySelector: new ZoneRelaySelector(peer.instance),
          log: silentLogger,
        }),
      );
      const { workload } = registry;
      const state = registry.readyEndpoints('model')[0] as EndpointState;
      return { peer, state, directory, workload };
    });
  }

  /** The rate limit of the endpoint as known to each instance, in order. */
  get rateLimits(): (number | undefined)[] {
    return this.instances.map(({ state }) => state.availability.rateLimit.requestsPerSecond);
  }

  /** Applies a statement of the endpoint in a response to one instance. */
  nameLimit(index: number, requestsPerSecond: number | undefined): void {
    const now = this.clock.monotonicMilliseconds();
    const { state } = this.instances[index] as (typeof this.instances)[number];
    state.availability.rateLimit.receive({ requestsPerSecond }, now, now);
  }

  /** Number of requests at the endpoint as known to each instance, in order. */
  get running(): number[] {
    return this.instances.map(({ state }) => state.totalRunning);
  }
}

describe('LoadExchangeTask', () => {
  it.each([
    { instances: '6', zones: ['a', 'b'], instancesPerZone: 3 },
    { instances: '64', zones: ['a', 'b', 'c', 'd'], instancesPerZone: 16 },
    {
      instances: '24',
      zones: ['a', 'b', 'c'].concat('d'),
      instancesPerZone: 6,
    },
  ])(
    'gives each of $instances instances the exact load of all others',
    async ({ zones, instancesPerZone }) => {
      const cluster = new TestCluster(zones, instancesPerZone);
      cluster.instances.forEach(({ state }, index) => {
        for (let count = 0; count <= index % 3; count += 1) {
          state.beginRequest(0);
        }
      });
      await cluster.clock.advance(600);
      const total = cluster.instances.reduce((sum, _unused, index) => sum + 1 + (index % 3), 0);
      expect(new Set(cluster.running)).toEqual(new Set([total]));
    },
  );

  // Guards against a limit that an instance does not know until the endpoint has told it as well.
  it.each([
    { instances: '6', zones: ['a', 'b'], instancesPerZone: 3 },
    { instances: '64', zones: ['a', 'b', 'c', 'd'], instancesPerZone: 16 },
  ])(
    'tells all of $instances instances the rate limit of an endpoint, and its end',
    async ({ zones, instancesPerZone }) => {
      const cluster = new TestCluster(zones, instancesPerZone);
      await cluster.clock.advance(300);
      cluster.nameLimit(1, 5.5);
      await cluster.clock.advance(600);
      expect(new Set(cluster.rateLimits)).toEqual(new Set([5.5]));
      await cluster.clock.advance(4000);
      cluster.nameLimit(2, undefined);
      await cluster.clock.advance(600);
      expect(new Set(cluster.rateLimits)).toEqual(new Set([undefined]));
    },
  );

  // Guards against a speed that each instance has to learn from its own few requests.
  it.each([
    { instances: '6', zones: ['a', 'b'], instancesPerZone: 3 },
    { instances: '64', zones: ['a', 'b', 'c', 'd'], instancesPerZone: 16 },
  ])(
    'tells all of $instances instances the rate that one has observed, and then nothing',
    async ({ zones, instancesPerZone }) => {
      const cluster = new TestCluster(zones, instancesPerZone);
      await cluster.clock.advance(300);
      const { state, workload } = cluster.instances[1] as (typeof cluster.instances)[number];
      workload.recordPrefill(state.hash, 8000, 208, cluster.clock.monotonicMilliseconds());
      await cluster.clock.advance(600);
      const rates = cluster.instances.map(
        (instance) => instance.state.speed.estimateOf(RateKind.Prefill)?.logRate ?? 0,
      );
      rates.forEach((rate) => expect(2 ** rate).toBeCloseTo(40, 0));
      await cluster.clock.advance(4000);
      const weights = cluster.instances.map(
        (instance) => instance.state.speed.estimateOf(RateKind.Prefill)?.weight ?? 0,
      );
      await cluster.clock.advance(10_000);
      // At most the observation and its return in the digest of the relay.
      expect(Math.max(...weights)).toBeLessThanOrEqual(2);
      cluster.instances.forEach((instance, index) =>
        expect(instance.state.speed.estimateOf(RateKind.Prefill)?.weight).toBe(weights[index]),
      );
    },
  );

  // Guards against a limit that is kept for good by an instance that could not be told its end.
  it('tells an instance the end of a rate limit after it was cut off', async () => {
    const cluster = new TestCluster(['a', 'b'], 3);
    cluster.nameLimit(1, 5);
    await cluster.clock.advance(5000);
    cluster.network.isDelivered = (from, to) => from !== 4 && to !== 4;
    cluster.nameLimit(1, undefined);
    await cluster.clock.advance(60_000);
    expect(cluster.rateLimits).toEqual([undefined, undefined, undefined, undefined, 5, undefined]);
    cluster.network.isDelivered = () => true;
    await cluster.clock.advance(3000);
    expect(new Set(cluster.rateLimits)).toEqual(new Set([undefined]));
  });

  // Guards against messages without end from instances that are idle.
  it('sends nothing while idle once the end of a rate limit has been told', async () => {
    const cluster = new TestCluster(['a', 'b'], 3);
    cluster.nameLimit(1, 5);
    await cluster.clock.advance(5000);
    cluster.nameLimit(1, undefined);
    await cluster.clock.advance(15_000);
    const before = cluster.network.sentDatagrams;
    await cluster.clock.advance(20_000);
    expect(cluster.network.sentDatagrams).toBe(before);
  });

  // Guards against prefilling a segment again in each zone because its holder is unknown there.
  it('reports to the instances of all zones which engine has prefilled a segment', async () => {
    const cluster = new TestCluster(['a', 'b', 'c', 'd'], 16);
    await cluster.clock.advance(300);
    const { state, directory } = cluster.instances[5] as (typeof cluster.instances)[number];
    directory.recordOwn(
      { engine: state.hash, segment: 77, sharedTokens: 13_000, ownTokens: 3000 },
      cluster.clock.monotonicMilliseconds(),
    );
    await cluster.clock.advance(600);
    for (const instance of cluster.instances) {
      const now = cluster.clock.monotonicMilliseconds();
      expect(instance.directory.isHolder(77, instance.state, CACHE_CAPACITY_TOKENS, now)).toBe(
        true,
      );
    }
  });

  // Guards against treating segments as evicted too early because uses are counted more than once.
  it('counts each use once at every instance', async () => {
    const cluster = new TestCluster(['a', 'b', 'c', 'd'], 16);
    await cluster.clock.advance(300);
    for (let segment = 0; segment < 12; segment += 1) {
      const { state, directory } = cluster.instances[segment] as (typeof cluster.instances)[number];
      const use = { engine: state.hash, segment, sharedTokens: 13_000, ownTokens: 2000 };
      directory.recordOwn(use, cluster.clock.monotonicMilliseconds());
    }
    await cluster.clock.advance(600);
    for (const { state, directory } of cluster.instances) {
      const now = cluster.clock.monotonicMilliseconds();
      expect(directory.isHolder(0, state, CACHE_CAPACITY_TOKENS, now)).toBe(true);
    }
  });

  it('switches to another relay when the current one is unreachable', async () => {
    const cluster = new TestCluster(['a', 'b', 'c'], 8);
    await cluster.clock.advance(500);
    cluster.network.isDelivered = (from, to) => from !== 0 && to !== 0;
    cluster.instances[9]?.state.beginRequest(0);
    cluster.instances[3]?.state.beginRequest(0);
    await cluster.clock.advance(2500);
    const reachable = cluster.running.slice(1);
    expect(new Set(reachable)).toEqual(new Set([2]));
  });

  // Guards against a number of datagrams that grows with the square of the number of instances.
  it('sends at most 10 % more datagrams per instance for 64 instances than for 24', async () => {
    const count = async (instancesPerZone: number) => {
      const cluster = new TestCluster(['a', 'b', 'c', 'd'], instancesPerZone);
      await cluster.clock.advance(2000);
      return cluster.network.sentDatagrams / (4 * instancesPerZone);
    };
    expect(await count(16)).toBeLessThan((await count(6)) * 1.1);
  });
});
