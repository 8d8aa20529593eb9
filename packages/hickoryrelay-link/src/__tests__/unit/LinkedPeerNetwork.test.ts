import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { MemoryNetwork } from 'hickoryrelay-standin/MemoryNetwork';

import { LinkedPeerNetwork } from '../../LinkedPeerNetwork.js';
import { encodePeerMessage } from '../../PeerMessageCodec.js';
import type { PeerConnection } from '../../PeerConnection.js';

const ACCEPTED_LIMIT = 64;
const PEER = { name: 'peer', url: 'ws://peer' };

let clock: ManualClock;
let net: MemoryNetwork;
let lifecycle: LifecycleManager;

function networkOf(seed: number): LinkedPeerNetwork {
  return new LinkedPeerNetwork({
    identity: { name: 'own', zone: 'zone-a', incarnation: '01' },
    transport: net.transport('ws://own'),
    clock,
    random: new SeededRandomSource(seed),
    log: silentLogger,
    lifecycle,
    statement: () => ({ revision: 1, viewAgeMilliseconds: 0 }),
  });
}

const hello = (name: string) =>
  encodePeerMessage({
    type: 'hello',
    identity: { name, zone: 'zone-a', incarnation: '01' },
    peersUrl: '',
    revision: 0,
  });

beforeEach(() => {
  clock = new ManualClock();
  net = new MemoryNetwork();
  lifecycle = new LifecycleManager('own', clock, () => {});
});

afterEach(() => lifecycle.stop());

describe('links that flap', () => {
  /** A peer whose links end after the given times, one after the other. */
  async function startPeer(lives: readonly number[]): Promise<{ waits: number[] }> {
    const waits: number[] = [];
    const remaining = [...lives];
    let endedMilliseconds = 0;
    await net.transport(PEER.url).listen((connection: PeerConnection) => {
      waits.push(clock.monotonicMilliseconds() - endedMilliseconds);
      connection.send(hello(PEER.name));
      const life = remaining.shift() ?? 100;
      const beat = { revision: 0, viewAgeMilliseconds: 0, echo: 0 };
      for (let sequence = 1; sequence * 1000 < life; sequence += 1) {
        const message = encodePeerMessage({ type: 'heartbeat', sequence, ...beat });
        clock.schedule(sequence * 1000, () => connection.send(message));
      }
      clock.schedule(life, () => {
        endedMilliseconds = clock.monotonicMilliseconds();
        connection.terminate();
      });
    });
    return { waits };
  }

  // Guards against a broken peer that is dialled, and greeted, several times a second for ever.
  it('are opened again after waits that grow up to 4 s, though each link was made', async () => {
    const { waits } = await startPeer(Array.from({ length: 50 }, () => 5000));
    networkOf(1).follow([PEER]);
    await clock.advance(120_000);
    expect(waits.slice(1, 4).every((wait, index) => wait <= 200 * 2 ** index)).toBe(true);
    expect(waits.length).toBeGreaterThan(10);
    expect(waits.slice(6).every((wait) => wait >= 2000 && wait <= 4000)).toBe(true);
  });

  // Guards against a long wait after a link that was stable, which would delay configurations.
  it('are opened again soon once a link has lasted', async () => {
    const { waits } = await startPeer([100, 100, 100, 100, 100, 100, 20_000]);
    networkOf(1).follow([PEER]);
    await clock.advance(45_000);
    expect(waits[6]).toBeGreaterThanOrEqual(2000);
    expect(waits[7]).toBeLessThanOrEqual(200);
  });

  // Guards against all neighbours of a restarted peer that dial it at the same moment.
  it('are opened again after waits with jitter', async () => {
    const { waits } = await startPeer([]);
    networkOf(1).follow([PEER]);
    await clock.advance(60_000);
    expect(new Set(waits.slice(7).map(Math.round)).size).toBeGreaterThan(5);
  });
});

describe('accepted links', () => {
  const { signal } = new AbortController();

  async function open(name: string): Promise<PeerConnection> {
    const connection = await net.transport(`ws://${name}`).connect('ws://own', signal);
    connection.send(hello(name));
    return connection;
  }

  async function fill(network: LinkedPeerNetwork): Promise<PeerConnection[]> {
    await network.listen();
    const opened: PeerConnection[] = [];
    for (let index = 0; index < ACCEPTED_LIMIT + 6; index += 1) {
      opened.push(await open(`peer-${index}`));
    }
    await clock.advance(0);
    return opened;
  }

  // Guards against an instance that spends its memory and its core on links that others open.
  it('are limited, and those beyond the limit are cut at once', async () => {
    const network = networkOf(1);
    const opened = await fill(network);
    expect(network.connectedPeers()).toHaveLength(ACCEPTED_LIMIT);
    const refused = opened.at(-1)?.received.next(clock, 1, signal);
    await clock.advance(1);
    expect(await refused).toBe('closed');
  });

  // Guards against a limit that is used up for good by links that have ended.
  it('give their places back when they end, silent ones too', async () => {
    const network = networkOf(1);
    const [first] = await fill(network);
    first?.terminate();
    await clock.advance(0);
    await open('late');
    await clock.advance(0);
    expect(network.connectedPeers().some(({ name }) => name === 'late')).toBe(true);
    await clock.advance(10_000);
    expect(network.connectedPeers()).toEqual([]);
    await open('later');
    await clock.advance(0);
    expect(network.connectedPeers().map(({ name }) => name)).toEqual(['later']);
  });
});
