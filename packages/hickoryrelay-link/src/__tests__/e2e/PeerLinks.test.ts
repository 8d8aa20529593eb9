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

async function startNetwork(
  name: string,
  incarnation = '01',
  port = 0,
): Promise<LinkedPeerNetwork> {
  const lifecycle = new LifecycleManager(name, clock, () => {});
  const network = new LinkedPeerNetwork({
    identity: { name, zone: 'zone-a', incarnation },
    transport: new WebSocketPeerTransport('127.0.0.1', port),
    clock,
    random: new SystemRandomSource(),
    log: silentLogger,
    lifecycle,
    configurationStatus: () => ({ revision: 1, configurationTag: 1, viewAgeMilliseconds: 0 }),
  });
  await network.listen();
  cleanUps.push(() => lifecycle.stop());
  return network;
}

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let attempt = 0; attempt < 1500 && !condition(); attempt += 1) {
    await clock.sleep(20);
  }
  expect(condition()).toBe(true);
}

const encodeHello = (name: string, incarnation = '01') =>
  encodePeerMessage({
    type: 'hello',
    identity: { name, zone: 'zone-a', incarnation },
    peersUrl: '',
    revision: 0,
  });

async function connectRawPeer(network: LinkedPeerNetwork, first: Uint8Array): Promise<WebSocket> {
  const socket = new WebSocket(network.peersUrl);
  socket.on('error', () => {});
  cleanUps.push(() => socket.terminate());
  await new Promise((resolve) => {
    socket.once('open', resolve);
  });
  socket.send(first);
  return socket;
}

/** Sends heartbeats without an echo, so that the peer is alive but never verified. */
function sendHeartbeats(socket: WebSocket): void {
  let sequence = 0;
  const timer = setInterval(() => {
    sequence += 1;
    const body = { sequence, echo: 0, revision: 0, configurationTag: 0, viewAgeMilliseconds: 0 };
    socket.send(encodePeerMessage({ type: 'heartbeat', ...body }));
  }, 200);
  cleanUps.push(() => clearInterval(timer));
}

const leavingMessage = (name: string) =>
  ({ type: 'leaving', identity: { name, zone: 'zone-a', incarnation: '01' } }) as const;

describe('peer links over WebSocket', () => {
  // Guards against duplicate links, and duplicate messages, when both ends connect at once.
  it('keeps one link when both ends open one, and delivers each message once', async () => {
    const left = await startNetwork('left');
    const right = await startNetwork('right');
    const received: string[] = [];
    const abort = new AbortController();
    cleanUps.push(() => abort.abort());
    const reading = (async () => {
      for await (const { from, message } of right.messages(['leaving'], abort.signal)) {
        received.push(`${from.name} ${message.type}`);
      }
    })().catch(() => {});
    left.setNeighbours([{ name: 'right', url: right.peersUrl }]);
    right.setNeighbours([{ name: 'left', url: left.peersUrl }]);
    await waitUntil(
      () => left.connectedPeers().length === 1 && right.connectedPeers().length === 1,
    );
    // Before both ends have agreed on one of the two links, a message may be lost on the other.
    await clock.sleep(500);
    expect(left.broadcast(leavingMessage('left'))).toBe(1);
    await waitUntil(() => received.length > 0);
    expect(received).toEqual(['left leaving']);
    abort.abort();
    await reading;
  });

  // Guards against a link to an earlier incarnation that blocks or replaces that of a later one.
  it('reconnects to a restarted peer and replaces the link of its old incarnation', async () => {
    const left = await startNetwork('left');
    const old = await connectRawPeer(left, encodeHello('right', '01'));
    sendHeartbeats(old);
    await waitUntil(() => left.connectedPeers()[0]?.incarnation === '01');
    const renewed = await startNetwork('right', '02');
    left.setNeighbours([{ name: 'right', url: renewed.peersUrl }]);
    renewed.setNeighbours([{ name: 'left', url: left.peersUrl }]);
    await waitUntil(() => left.connectedPeers()[0]?.incarnation === '02');
    await waitUntil(() => old.readyState === WebSocket.CLOSED);
    const stale = await connectRawPeer(left, encodeHello('right', '01'));
    await waitUntil(() => stale.readyState === WebSocket.CLOSED);
    expect(left.connectedPeers()[0]?.incarnation).toBe('02');
  });

  // Guards against a half-open link that keeps the peer from reconnecting.
  it('replaces a link by a newer one that the same peer opened', async () => {
    const network = await startNetwork('left');
    const old = await connectRawPeer(network, encodeHello('right'));
    sendHeartbeats(old);
    await waitUntil(() => network.connectedPeers().length === 1);
    await connectRawPeer(network, encodeHello('right'));
    await waitUntil(() => old.readyState === WebSocket.CLOSED);
    expect(network.connectedPeers()).toHaveLength(1);
  });

  // Guards against a peer that hangs while its operating system keeps the connection open.
  it('ends a link whose peer is silent although its connection is open', async () => {
    const network = await startNetwork('left');
    await connectRawPeer(network, encodeHello('right'));
    await waitUntil(() => network.connectedPeers().length === 1);
    await waitUntil(() => network.connectedPeers().length === 0);
    expect(network.linkEndCounts.get('deadline-exceeded')).toBe(1);
  });

  // Guards against further use of links into a zone whose network path has failed.
  it('verifies the other links to a zone after one has gone silent', async () => {
    const network = await startNetwork('left');
    const sibling = await connectRawPeer(network, encodeHello('sibling'));
    sendHeartbeats(sibling);
    await waitUntil(() => network.connectedPeers().length === 1);
    await connectRawPeer(network, encodeHello('silent'));
    await waitUntil(() => network.connectedPeers().length === 2);
    await waitUntil(() => network.connectedPeers().length === 0);
    await waitUntil(() => network.linkEndCounts.get('deadline-exceeded') === 2);
  });

  it.each([
    ['bytes that are not a message', new Uint8Array([0xc1, 0xff])],
    ['an unknown type', pack({ type: 'order' })],
    ['a field of the wrong type', pack({ type: 'configuration-changed', revision: 'seven' })],
    ['a second hello', encodeHello('right')],
    ['an echo of a heartbeat never sent', pack({ type: 'heartbeat', body: [1, 99, 0, 0] })],
  ])('ends a link on %s', async (fault, bytes) => {
    const network = await startNetwork('left');
    const peer = await connectRawPeer(network, encodeHello('right'));
    peer.send(bytes);
    await waitUntil(() => peer.readyState === WebSocket.CLOSED);
    expect(network.linkEndCounts.get('protocol-violation')).toBe(1);
  });

  it('ends a link on a message that is too long', async () => {
    const network = await startNetwork('left');
    const peer = await connectRawPeer(network, encodeHello('right'));
    // Valid except for its length, so that nothing else can end the link.
    const text = 'x'.repeat(MAXIMUM_MESSAGE_BYTES + 1);
    const buckets = [[0, text]] as const;
    const type = 'configuration-buckets';
    peer.send(encodePeerMessage({ type, revision: 1, digests: [], buckets }));
    await waitUntil(() => peer.readyState === WebSocket.CLOSED);
    expect(network.linkEndCounts.get('deadline-exceeded')).toBeUndefined();
    expect(network.connectedPeers()).toEqual([]);
  });

  // Guards against unbounded memory for messages to a peer that does not read them.
  it('ends a link whose peer stops reading', async () => {
    const server = new WebSocketServer({ host: '127.0.0.1', port: 0 });
    cleanUps.push(() => server.close());
    server.on('connection', (socket) => {
      cleanUps.push(() => socket.terminate());
      socket.on('error', () => {});
      socket.send(encodeHello('right'));
      socket.pause();
    });
    const network = await startNetwork('left');
    const { port } = server.address() as { port: number };
    network.setNeighbours([{ name: 'right', url: `ws://127.0.0.1:${port}` }]);
    await waitUntil(() => network.connectedPeers().length === 1);
    const text = 'x'.repeat(1024 * 1024);
    const message = {
      type: 'configuration-buckets',
      revision: 1,
      digests: [],
      buckets: [[0, text]],
    } as const;
    for (let sent = 0; sent < 200 && network.send('right', message); sent += 1);
    await waitUntil(() => network.linkEndCounts.get('overloaded') === 1);
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
