import { describe, expect, it } from 'vitest';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { ConfirmedView } from 'hickoryrelay-forwarding/ConfirmedView';
import { EndpointRegistry } from 'hickoryrelay-forwarding/EndpointRegistry';
import { InstanceRateLimitShares } from 'hickoryrelay-forwarding/InstanceRateLimitShares';
import { LoadExchangeTask } from 'hickoryrelay-forwarding/LoadExchangeTask';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';
import { PromptCacheDirectory } from 'hickoryrelay-forwarding/PromptCacheDirectory';
import { RateLimitExchange } from 'hickoryrelay-forwarding/RateLimitExchange';
import { ZoneRelaySelector } from 'hickoryrelay-forwarding/ZoneRelaySelector';
import { AccountQuotas } from 'hickoryrelay-quota/AccountQuotas';
import { AccountUseExchange } from 'hickoryrelay-quota/AccountUseExchange';

import { HEARTBEAT_MILLISECONDS } from './ForwardingFixture.js';
import { InMemoryPeerNetwork, makePeer } from './InMemoryPeerNetwork.js';

const ACCOUNT = 'account-1';
const LIMIT = { ratePerSecond: 1000, burst: 30_000 };
const BOUNDS = { windowMilliseconds: 8000, overshoot: 0.1, slack: 0 };

/** Instances that exchange the use of accounts in their load messages, over an in-memory network. */
class QuotaCluster {
  readonly clock = new ManualClock();

  readonly network = new InMemoryPeerNetwork();

  readonly quotas: readonly AccountQuotas[];

  readonly zones: readonly string[];

  constructor(
    zones: readonly string[],
    instancesPerZone: number,
    limits = new Map([[ACCOUNT, LIMIT]]),
  ) {
    const { clock, network } = this;
    const peers = zones.flatMap((zone, zoneIndex) =>
      Array.from({ length: instancesPerZone }, (_unused, index) =>
        makePeer(zoneIndex * instancesPerZone + index, zone, index === 0 ? 1 : 0.3),
      ),
    );
    this.zones = peers.map(({ zone }) => zone);
    const lifecycle = new LifecycleManager('test', clock, () => {});
    this.quotas = peers.map((peer, index) => {
      const view = new ConfirmedView(clock, HEARTBEAT_MILLISECONDS);
      const snapshot = { configuration: undefined, endpoints: [], isAuthorityHeld: false };
      view.apply({ ...snapshot, peers }, 0);
      const loads = new PeerLoads();
      const shares = new InstanceRateLimitShares(peer.instance, clock);
      const registry = new EndpointRegistry(loads, shares);
      const quotas = new AccountQuotas({
        limits: () => limits,
        bounds: BOUNDS,
        listedInstances: () => peers.length,
        clock,
        random: new SeededRandomSource(index),
      });
      const log = silentLogger;
      lifecycle.start(
        new LoadExchangeTask({
          self: peer,
          channel: network.channelOf(peer),
          view,
          registry,
          loads,
          directory: new PromptCacheDirectory(),
          rateLimits: new RateLimitExchange({ registry, shares, clock, log }),
          relaySelector: new ZoneRelaySelector(peer.instance),
          accountUse: new AccountUseExchange(quotas, clock),
          log,
        }),
      );
      return quotas;
    });
  }

  /** Number of instances that each instance hears, in order. */
  get heard(): number[] {
    return this.quotas.map(({ coverage }) => coverage.heardInstances);
  }

  tryTake(index: number, cost: number): boolean {
    const now = this.clock.monotonicMilliseconds();
    return this.quotas[index]?.tryTake(ACCOUNT, cost, now).kind === 'taken';
  }
}

const FOUR_ZONES = ['a', 'b', 'c', 'd'];

describe('LoadExchangeTask with quotas', () => {
  // Guards against use of other instances that is counted twice or not at all.
  it.each([
    { name: '6', zones: ['a', 'b'], instancesPerZone: 3 },
    { name: '24', zones: FOUR_ZONES, instancesPerZone: 6 },
    { name: '64', zones: FOUR_ZONES, instancesPerZone: 16 },
  ])('tells each of $name instances what all have used', async ({ zones, instancesPerZone }) => {
    const cluster = new QuotaCluster(zones, instancesPerZone);
    await cluster.clock.advance(10_000);
    const instances = zones.length * instancesPerZone;
    expect(new Set(cluster.heard)).toEqual(new Set([instances]));
    // All but a small part of the bucket is used at one instance.
    expect(cluster.tryTake(1, 30_000)).toBe(true);
    await cluster.clock.advance(700);
    const others = Array.from({ length: instances }, (_unused, index) => index);
    expect(others.filter((index) => cluster.tryTake(index, 6000))).toEqual([]);
  });

  it('divides the quota while a zone is cut off, and joins it again', async () => {
    const cluster = new QuotaCluster(FOUR_ZONES, 6);
    await cluster.clock.advance(10_000);
    cluster.network.isDelivered = (from, to) =>
      (cluster.zones[from] === 'a') === (cluster.zones[to] === 'a');
    await cluster.clock.advance(4000);
    expect(cluster.heard).toEqual(cluster.zones.map((zone) => (zone === 'a' ? 6 : 18)));
    cluster.tryTake(0, 1);
    cluster.tryTake(23, 1);
    const shares = [0, 23].map((index) => [...(cluster.quotas[index]?.counts() ?? [])][0]?.share);
    expect(shares).toEqual([0.25, 0.75]);
    cluster.network.isDelivered = () => true;
    await cluster.clock.advance(2000);
    expect(new Set(cluster.heard)).toEqual(new Set([24]));
    expect([...(cluster.quotas[0]?.counts() ?? [])][0]?.share).toBe(1);
  });

  // Guards against messages of idle deployments that use no quotas.
  it('sends nothing while idle if no account has a quota', async () => {
    const cluster = new QuotaCluster(['a', 'b'], 3, new Map());
    await cluster.clock.advance(2000);
    const before = cluster.network.sentDatagrams;
    await cluster.clock.advance(5000);
    expect(cluster.network.sentDatagrams).toBe(before);
  });
});
