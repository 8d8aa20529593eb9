import { once } from 'node:events';

import WebSocket, { WebSocketServer } from 'ws';
import { FailureKind } from 'hickoryrelay/Failure';
import { invariant } from 'hickoryrelay/Invariant';
import { RelayError } from 'hickoryrelay/RelayError';

import { MAXIMUM_MESSAGE_BYTES, PeerConnection, PeerTransport } from './PeerConnection.js';
import type { CleanUp } from 'hickoryrelay/LifecycleManager';
import type { RawData } from 'ws';

function bytesOf(data: RawData): Uint8Array {
  if (Array.isArray(data)) {
    return Buffer.concat(data);
  }
  return data instanceof ArrayBuffer ? new Uint8Array(data) : data;
}

class WebSocketConnection extends PeerConnection {
  private readonly socket: WebSocket;

  constructor(socket: WebSocket) {
    super();
    this.socket = socket;
    socket.on('message', (data: RawData) => {
      if (!this.received.push(bytesOf(data))) {
        this.terminate();
      }
    });
    // An 'error' event without a listener would end the process.
    socket.on('error', () => this.received.close());
    socket.on('close', () => this.received.close());
  }

  override get queuedBytes(): number {
    return this.socket.bufferedAmount;
  }

  override send(bytes: Uint8Array): void {
    if (this.socket.readyState === WebSocket.OPEN) {
      this.socket.send(bytes, { binary: true, compress: false }, () => {});
    }
  }

  override terminate(): void {
    this.socket.terminate();
    this.received.close();
  }
}

/** Peer connections over WebSocket. */
export class WebSocketPeerTransport extends PeerTransport {
  private readonly address: string;

  private readonly port: number;

  private server: WebSocketServer | undefined;

  constructor(address: string, port: number) {
    super();
    this.address = address;
    this.port = port;
  }

  override get url(): string {
    const bound = this.server?.address();
    invariant(typeof bound === 'object' && bound !== null, 'the peer interface is not listening');
    return `ws://${this.address}:${bound.port}`;
  }

  override async listen(accept: (connection: PeerConnection) => void): Promise<CleanUp> {
    const server = new WebSocketServer({
      host: this.address,
      port: this.port,
      maxPayload: MAXIMUM_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    server.on('connection', (socket) => accept(new WebSocketConnection(socket)));
    await once(server, 'listening');
    this.server = server;
    return () =>
      new Promise((resolve) => {
        server.clients.forEach((client) => client.terminate());
        server.close(() => resolve());
      });
  }

  override async connect(url: string, signal: AbortSignal): Promise<PeerConnection> {
    const socket = new WebSocket(url, {
      maxPayload: MAXIMUM_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    // Listeners are added before the socket opens, so that no early message is lost.
    const connection = new WebSocketConnection(socket);
    try {
      await once(socket, 'open', { signal });
      return connection;
    } catch (error) {
      connection.terminate();
      throw new RelayError(
        {
          kind: FailureKind.EndpointFailed,
          endpoint: url,
          reason: 'the connection could not be opened',
          mayHaveRun: false,
        },
        error,
      );
    }
  }
}
