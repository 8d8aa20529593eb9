import { describe, expect, it } from 'vitest';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { ConfirmedView } from 'hickoryrelay-forwarding/ConfirmedView';
import { EndpointRegistry } from 'hickoryrelay-forwarding/EndpointRegistry';
import { LoadExchangeTask } from 'hickoryrelay-forwarding/LoadExchangeTask';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';
import { PromptCacheDirectory } from 'hickoryrelay-forwarding/PromptCacheDirectory';
import { ZoneRelays } from 'hickoryrelay-forwarding/ZoneRelays';

import { HEARTBEAT_MILLISECONDS, makeEndpoint } from './ForwardingFixture.js';
import { makePeer, PeerNetwork } from './PeerNetwork.js';

import type { EndpointState } from 'hickoryrelay-forwarding/EndpointState';
import type { PeerRecord } from 'hickoryrelay-forwarding/PeerRecord';

const MEMORY_TOKENS = 350_000;

const ENDPOINT = makeEndpoint('engine-1', { service: 'model' });

/** Instances that exchange their load over a network in memory. */
class Fleet {
  readonly clock = new ManualClock();

  readonly network = new PeerNetwork();

  readonly instances: readonly {
    readonly peer: PeerRecord;
    readonly state: EndpointState;
    readonly directory: PromptCacheDirectory;
  }[];

  constructor(zones: readonly string[], inEach: number) {
    const peers = zones.flatMap((zone, zoneIndex) =>
      Array.from({ length: inEach }, (_unused, index) =>
        makePeer(zoneIndex * inEach + index, zone, index === 0 ? 1 : 0.3),
      ),
    );
    const lifecycle = new LifecycleManager('test', this.clock, () => {});
    this.instances = peers.map((peer) => {
      const view = new ConfirmedView(this.clock, HEARTBEAT_MILLISECONDS);
      const reading = { configuration: undefined, endpoints: [ENDPOINT], isAuthorityHeld: false };
      view.apply({ ...reading, peers }, 0);
      const loads = new PeerLoads();
      const registry = new EndpointRegistry(loads);
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
          relays: new ZoneRelays(peer.instance),
          log: silentLogger,
        }),
      );
      return { peer, state: registry.readyEndpoints('model')[0] as EndpointState, directory };
    });
  }

  /** What each instance takes the endpoint to run, in order. */
  get running(): number[] {
    return this.instances.map(({ state }) => state.totalRunning);
  }
}

describe('the exchange of load', () => {
  it.each([
    { instances: 'few', zones: ['a', 'b'], inEach: 3 },
    { instances: 'many', zones: ['a', 'b', 'c', 'd'], inEach: 16 },
    { instances: 'many, with one in some zone', zones: ['a', 'b', 'c'].concat('d'), inEach: 6 },
  ])('shows $instances instances the load of all others exactly', async ({ zones, inEach }) => {
    const fleet = new Fleet(zones, inEach);
    fleet.instances.forEach(({ state }, index) => {
      for (let count = 0; count <= index % 3; count += 1) {
        state.beginRequest(0);
      }
    });
    await fleet.clock.advance(600);
    const total = fleet.instances.reduce((sum, _unused, index) => sum + 1 + (index % 3), 0);
    expect(new Set(fleet.running)).toEqual(new Set([total]));
  });

  // Guards against a shared part that each zone has read again because it does not know the holder.
  it('tells the instances of all zones which engine has read a part', async () => {
    const fleet = new Fleet(['a', 'b', 'c', 'd'], 16);
    await fleet.clock.advance(300);
    const { state, directory } = fleet.instances[5] as (typeof fleet.instances)[number];
    directory.recordOwn(
      { engine: state.hash, segment: 77, sharedTokens: 13_000, ownTokens: 3000 },
      fleet.clock.monotonicMilliseconds(),
    );
    await fleet.clock.advance(600);
    for (const instance of fleet.instances) {
      const now = fleet.clock.monotonicMilliseconds();
      expect(instance.directory.isHolder(77, instance.state, MEMORY_TOKENS, now)).toBe(true);
    }
  });

  // Guards against parts that count as dropped early because their use is counted more than once.
  it('counts each use once at every instance', async () => {
    const fleet = new Fleet(['a', 'b', 'c', 'd'], 16);
    await fleet.clock.advance(300);
    for (let segment = 0; segment < 12; segment += 1) {
      const { state, directory } = fleet.instances[segment] as (typeof fleet.instances)[number];
      const use = { engine: state.hash, segment, sharedTokens: 13_000, ownTokens: 2000 };
      directory.recordOwn(use, fleet.clock.monotonicMilliseconds());
    }
    await fleet.clock.advance(600);
    for (const { state, directory } of fleet.instances) {
      const now = fleet.clock.monotonicMilliseconds();
      expect(directory.isHolder(0, state, MEMORY_TOKENS, now)).toBe(true);
    }
  });

  it('goes on over another relay when one is cut off', async () => {
    const fleet = new Fleet(['a', 'b', 'c'], 8);
    await fleet.clock.advance(500);
    fleet.network.arrives = (from, to) => from !== 0 && to !== 0;
    fleet.instances[9]?.state.beginRequest(0);
    fleet.instances[3]?.state.beginRequest(0);
    await fleet.clock.advance(2500);
    const reachable = fleet.running.slice(1);
    expect(new Set(reachable)).toEqual(new Set([2]));
  });

  // Guards against a number of datagrams that grows with the square of the number of instances.
  it('sends each instance beside the relays as much with 64 instances as with 24', async () => {
    const count = async (inEach: number) => {
      const fleet = new Fleet(['a', 'b', 'c', 'd'], inEach);
      await fleet.clock.advance(2000);
      return fleet.network.sentDatagrams / (4 * inEach);
    };
    expect(await count(16)).toBeLessThan((await count(6)) * 1.1);
  });
});
