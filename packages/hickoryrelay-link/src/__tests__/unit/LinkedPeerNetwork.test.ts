import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { MemoryNetwork } from 'hickoryrelay-standin/MemoryNetwork';

import { LinkedPeerNetwork } from '../../LinkedPeerNetwork.js';
import { encodePeerMessage } from '../../PeerMessageCodec.js';
import type { PeerConnection } from '../../PeerConnection.js';

const ACCEPTED_LINK_LIMIT = 64;
const PEER = { name: 'peer', url: 'ws://peer' };

let clock: ManualClock;
let memoryNetwork: MemoryNetwork;
let lifecycle: LifecycleManager;

function createNetwork(seed: number): LinkedPeerNetwork {
  return new LinkedPeerNetwork({
    identity: { name: 'own', zone: 'zone-a', incarnation: '01' },
    transport: memoryNetwork.transport('ws://own'),
    clock,
    random: new SeededRandomSource(seed),
    log: silentLogger,
    lifecycle,
    configurationStatus: () => ({ revision: 1, configurationTag: 1, viewAgeMilliseconds: 0 }),
  });
}

const encodeHello = (name: string) =>
  encodePeerMessage({
    type: 'hello',
    identity: { name, zone: 'zone-a', incarnation: '01' },
    peersUrl: '',
    revision: 0,
  });

beforeEach(() => {
  clock = new ManualClock();
  memoryNetwork = new MemoryNetwork();
  lifecycle = new LifecycleManager('own', clock, () => {});
});

afterEach(() => lifecycle.stop());

describe('links that flap', () => {
  /** Starts a peer whose successive links end after the given times. */
  async function startPeer(
    lifetimesMilliseconds: readonly number[],
  ): Promise<{ waitsMilliseconds: number[] }> {
    const waitsMilliseconds: number[] = [];
    const remaining = [...lifetimesMilliseconds];
    let endedMilliseconds = 0;
    await memoryNetwork.transport(PEER.url).listen((connection: PeerConnection) => {
      waitsMilliseconds.push(clock.monotonicMilliseconds() - endedMilliseconds);
      connection.send(encodeHello(PEER.name));
      const lifetimeMilliseconds = remaining.shift() ?? 100;
      const fields = { revision: 0, configurationTag: 0, viewAgeMilliseconds: 0, echo: 0 };
      for (let sequence = 1; sequence * 1000 < lifetimeMilliseconds; sequence += 1) {
        const message = encodePeerMessage({ type: 'heartbeat', sequence, ...fields });
        clock.schedule(sequence * 1000, () => connection.send(message));
      }
      clock.schedule(lifetimeMilliseconds, () => {
        endedMilliseconds = clock.monotonicMilliseconds();
        connection.terminate();
      });
    });
    return { waitsMilliseconds };
  }

  // Guards against reconnecting to a broken peer several times a second without end.
  it('are reopened after delays that grow up to 4 s, even if each connection succeeded', async () => {
    const { waitsMilliseconds } = await startPeer(Array.from({ length: 50 }, () => 5000));
    createNetwork(1).setNeighbours([PEER]);
    await clock.advance(120_000);
    expect(waitsMilliseconds.slice(1, 4).every((wait, index) => wait <= 200 * 2 ** index)).toBe(
      true,
    );
    expect(waitsMilliseconds.length).toBeGreaterThan(10);
    expect(waitsMilliseconds.slice(6).every((wait) => wait >= 2000 && wait <= 4000)).toBe(true);
  });

  // Guards against a long delay after a stable link, which would delay configuration changes.
  it('are reopened quickly once a link has been stable', async () => {
    const { waitsMilliseconds } = await startPeer([100, 100, 100, 100, 100, 100, 20_000]);
    createNetwork(1).setNeighbours([PEER]);
    await clock.advance(45_000);
    expect(waitsMilliseconds[6]).toBeGreaterThanOrEqual(2000);
    expect(waitsMilliseconds[7]).toBeLessThanOrEqual(200);
  });

  // Guards against all neighbours of a restarted peer reconnecting at the same moment.
  it('are reopened after delays with jitter', async () => {
    const { waitsMilliseconds } = await startPeer([]);
    createNetwork(1).setNeighbours([PEER]);
    await clock.advance(60_000);
    expect(new Set(waitsMilliseconds.slice(7).map(Math.round)).size).toBeGreaterThan(5);
  });
});

describe('accepted links', () => {
  const { signal } = new AbortController();

  async function openLink(name: string): Promise<PeerConnection> {
    const connection = await memoryNetwork.transport(`ws://${name}`).connect('ws://own', signal);
    connection.send(encodeHello(name));
    return connection;
  }

  async function fillToLimit(network: LinkedPeerNetwork): Promise<PeerConnection[]> {
    await network.listen();
    const opened: PeerConnection[] = [];
    for (let index = 0; index < ACCEPTED_LINK_LIMIT + 6; index += 1) {
      opened.push(await openLink(`peer-${index}`));
    }
    await clock.advance(0);
    return opened;
  }

  // Guards against an instance whose memory and processor are exhausted by accepted links.
  it('are limited, and those beyond the limit are closed at once', async () => {
    const network = createNetwork(1);
    const opened = await fillToLimit(network);
    expect(network.connectedPeers()).toHaveLength(ACCEPTED_LINK_LIMIT);
    const refused = opened.at(-1)?.received.next(clock, 1, signal);
    await clock.advance(1);
    expect(await refused).toBe('closed');
  });

  // Guards against a limit that is used up permanently by links that have ended.
  it('free their slots when they end, even if they were silent', async () => {
    const network = createNetwork(1);
    const [first] = await fillToLimit(network);
    first?.terminate();
    await clock.advance(0);
    await openLink('late');
    await clock.advance(0);
    expect(network.connectedPeers().some(({ name }) => name === 'late')).toBe(true);
    await clock.advance(10_000);
    expect(network.connectedPeers()).toEqual([]);
    await openLink('later');
    await clock.advance(0);
    expect(network.connectedPeers().map(({ name }) => name)).toEqual(['later']);
  });
});
