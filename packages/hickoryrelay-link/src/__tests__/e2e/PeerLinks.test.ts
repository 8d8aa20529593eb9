import { pack } from 'msgpackr';
import { afterEach, describe, expect, it } from 'vitest';
import WebSocket, { WebSocketServer } from 'ws';
import { SystemClock } from 'hickoryrelay/Clock';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { silentLogger } from 'hickoryrelay/Logger';
import { SystemRandomSource } from 'hickoryrelay/RandomSource';

import { LinkedPeerNetwork } from '../../LinkedPeerNetwork.js';
import { MAXIMUM_MESSAGE_BYTES } from '../../PeerConnection.js';
import { decodePeerMessage, encodePeerMessage } from '../../PeerMessageCodec.js';
import { WebSocketPeerTransport } from '../../WebSocketPeerTransport.js';

const clock = new SystemClock();
const cleanUps: (() => void | Promise<void>)[] = [];

afterEach(async () => {
  await Promise.all(cleanUps.splice(0).map((cleanUp) => cleanUp()));
});

async function networkOf(name: string, incarnation = '01', port = 0): Promise<LinkedPeerNetwork> {
  const lifecycle = new LifecycleManager(name, clock, () => {});
  const network = new LinkedPeerNetwork({
    identity: { name, zone: 'zone-a', incarnation },
    transport: new WebSocketPeerTransport('127.0.0.1', port),
    clock,
    random: new SystemRandomSource(),
    log: silentLogger,
    lifecycle,
    statement: () => ({ revision: 1, viewAgeMilliseconds: 0 }),
  });
  await network.listen();
  cleanUps.push(() => lifecycle.stop());
  return network;
}

async function until(condition: () => boolean): Promise<void> {
  for (let attempt = 0; attempt < 1500 && !condition(); attempt += 1) {
    await clock.sleep(20);
  }
  expect(condition()).toBe(true);
}

const hello = (name: string, incarnation = '01') =>
  encodePeerMessage({
    type: 'hello',
    identity: { name, zone: 'zone-a', incarnation },
    peersUrl: '',
    revision: 0,
  });

async function rawPeer(network: LinkedPeerNetwork, first: Uint8Array): Promise<WebSocket> {
  const socket = new WebSocket(network.peersUrl);
  socket.on('error', () => {});
  cleanUps.push(() => socket.terminate());
  await new Promise((resolve) => {
    socket.once('open', resolve);
  });
  socket.send(first);
  return socket;
}

/** Sends heartbeats without an echo: the peer is heard, but nothing shows that it hears. */
function keepBeating(socket: WebSocket): void {
  let sequence = 0;
  const beat = setInterval(() => {
    sequence += 1;
    const body = { sequence, echo: 0, revision: 0, viewAgeMilliseconds: 0 };
    socket.send(encodePeerMessage({ type: 'heartbeat', ...body }));
  }, 200);
  cleanUps.push(() => clearInterval(beat));
}

const leaving = (name: string) =>
  ({ type: 'leaving', identity: { name, zone: 'zone-a', incarnation: '01' } }) as const;

describe('links between instances over sockets', () => {
  it('keeps one link when both ends open one, and carries each message once', async () => {
    const left = await networkOf('left');
    const right = await networkOf('right');
    const received: string[] = [];
    const abort = new AbortController();
    cleanUps.push(() => abort.abort());
    const reading = (async () => {
      for await (const { from, message } of right.messages(['leaving'], abort.signal)) {
        received.push(`${from.name} ${message.type}`);
      }
    })().catch(() => {});
    left.follow([{ name: 'right', url: right.peersUrl }]);
    right.follow([{ name: 'left', url: left.peersUrl }]);
    await until(() => left.connectedPeers().length === 1 && right.connectedPeers().length === 1);
    // Until both ends have settled on one of the two links, a message can fall on the other.
    await clock.sleep(500);
    expect(left.broadcast(leaving('left'))).toBe(1);
    await until(() => received.length > 0);
    expect(received).toEqual(['left leaving']);
    abort.abort();
    await reading;
  });

  it('links again with a restarted peer and replaces its old run', async () => {
    const left = await networkOf('left');
    const old = await rawPeer(left, hello('right', '01'));
    keepBeating(old);
    await until(() => left.connectedPeers()[0]?.incarnation === '01');
    const renewed = await networkOf('right', '02');
    left.follow([{ name: 'right', url: renewed.peersUrl }]);
    renewed.follow([{ name: 'left', url: left.peersUrl }]);
    await until(() => left.connectedPeers()[0]?.incarnation === '02');
    await until(() => old.readyState === WebSocket.CLOSED);
    const stale = await rawPeer(left, hello('right', '01'));
    await until(() => stale.readyState === WebSocket.CLOSED);
    expect(left.connectedPeers()[0]?.incarnation).toBe('02');
  });

  it('replaces a link by a newer one that the same peer opened', async () => {
    const network = await networkOf('left');
    const old = await rawPeer(network, hello('right'));
    keepBeating(old);
    await until(() => network.connectedPeers().length === 1);
    await rawPeer(network, hello('right'));
    await until(() => old.readyState === WebSocket.CLOSED);
    expect(network.connectedPeers()).toHaveLength(1);
  });

  it('ends a link whose peer stays silent, though its connection is open', async () => {
    const network = await networkOf('left');
    await rawPeer(network, hello('right'));
    await until(() => network.connectedPeers().length === 1);
    await until(() => network.connectedPeers().length === 0);
    expect(network.endCounts.get('deadline-exceeded')).toBe(1);
  });

  it('proves the sibling links after one has gone silent', async () => {
    const network = await networkOf('left');
    const sibling = await rawPeer(network, hello('sibling'));
    keepBeating(sibling);
    await until(() => network.connectedPeers().length === 1);
    await rawPeer(network, hello('silent'));
    await until(() => network.connectedPeers().length === 2);
    await until(() => network.connectedPeers().length === 0);
    await until(() => network.endCounts.get('deadline-exceeded') === 2);
  });

  it.each([
    ['bytes that are no message', new Uint8Array([0xc1, 0xff])],
    ['an unknown type', pack({ type: 'order' })],
    ['a field of the wrong type', pack({ type: 'configuration-changed', revision: 'seven' })],
    ['a second greeting', hello('right')],
    ['an echo of a heartbeat never sent', pack({ type: 'heartbeat', body: [1, 99, 0, 0] })],
  ])('ends a link on %s', async (fault, bytes) => {
    const network = await networkOf('left');
    const peer = await rawPeer(network, hello('right'));
    peer.send(bytes);
    await until(() => peer.readyState === WebSocket.CLOSED);
    expect(network.endCounts.get('protocol-violation')).toBe(1);
  });

  it('ends a link on a message that is too long', async () => {
    const network = await networkOf('left');
    const peer = await rawPeer(network, hello('right'));
    // Valid but for its length, so that nothing else can end the link.
    const text = 'x'.repeat(MAXIMUM_MESSAGE_BYTES + 1);
    const buckets = [[0, text]] as const;
    const type = 'configuration-buckets';
    peer.send(encodePeerMessage({ type, revision: 1, digests: [], buckets }));
    await until(() => peer.readyState === WebSocket.CLOSED);
    expect(network.endCounts.get('deadline-exceeded')).toBeUndefined();
    expect(network.connectedPeers()).toEqual([]);
  });

  it('cuts off a peer that stops reading', async () => {
    const server = new WebSocketServer({ host: '127.0.0.1', port: 0 });
    cleanUps.push(() => server.close());
    server.on('connection', (socket) => {
      cleanUps.push(() => socket.terminate());
      socket.on('error', () => {});
      socket.send(hello('right'));
      socket.pause();
    });
    const network = await networkOf('left');
    const { port } = server.address() as { port: number };
    network.follow([{ name: 'right', url: `ws://127.0.0.1:${port}` }]);
    await until(() => network.connectedPeers().length === 1);
    const text = 'x'.repeat(1024 * 1024);
    const message = {
      type: 'configuration-buckets',
      revision: 1,
      digests: [],
      buckets: [[0, text]],
    } as const;
    for (let sent = 0; sent < 200 && network.send('right', message); sent += 1);
    await until(() => network.endCounts.get('overloaded') === 1);
  });

  it('decodes what it encodes', () => {
    const message = {
      type: 'digest',
      rows: [
        {
          identity: { name: 'left', zone: 'zone-a', incarnation: '01' },
          heartbeat: 3,
          state: 'leaving',
          revision: 4,
          viewAgeMilliseconds: Infinity,
          peersUrl: 'ws://left',
          costs: [['first', 12]],
          work: { prefill: 1200, decode: 300, classes: [[65_535, 1500]] },
        },
      ],
      heartbeats: [[4_000_000_000, 7]],
    } as const;
    expect(decodePeerMessage(encodePeerMessage(message), 'left')).toEqual(message);
  });
});
