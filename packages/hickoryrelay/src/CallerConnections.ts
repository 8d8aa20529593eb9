import { Server as SocketServer } from 'node:net';

import { CallerConnection } from './CallerConnection.js';
import { closeReasonOf, ConnectionCloseReason, recordCloseReason } from './ConnectionClosing.js';

import type { ClosedConnectionListener } from './ConnectionClosing.js';
import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Time that the HTTP server adds to the idle timeout, for requests that are on their way. */
const IDLE_TIMEOUT_MARGIN_MILLISECONDS = 1000;

/**
 * Runs the action once connections and requests that have already arrived are read. After a stall,
 * timers run before sockets are read.
 */
function afterPendingReads(action: () => void): void {
  // An iteration of the event loop accepts a connection, the next one reads its request.
  setImmediate(() => setImmediate(action));
}

/**
 * The open connections of an HTTP server. Closes them at a shutdown without losing a request that
 * has arrived or a response that has not been written out.
 */
export class CallerConnections {
  private readonly server: Server;

  /** The server, and others whose connections it handles. */
  private readonly listeners: SocketServer[];

  private readonly connections = new Map<Socket, CallerConnection>();

  /** Number of connections accepted so far. */
  private acceptedCount = 0;

  private readonly closeListeners = new Set<ClosedConnectionListener>();

  private isIdleCloseScheduled = false;

  /** Defined while connections are closed as soon as they are idle. */
  private onAllClosed: (() => void) | undefined;

  private readonly idleTimeoutMilliseconds: () => number;

  /** `idleTimeoutMilliseconds` returns the timeout that is in force. The server's is used if absent. */
  constructor(server: Server, idleTimeoutMilliseconds = () => server.keepAliveTimeout) {
    this.server = server;
    this.listeners = [server];
    this.idleTimeoutMilliseconds = idleTimeoutMilliseconds;
    // With this listener the server leaves the socket to it.
    server.on('timeout', (socket: Socket) => this.handleTimeout(socket));
    server.on('connection', (socket: Socket) => this.add(socket));
  }

  /** Lets the HTTP server handle the connections of another listener as well, which must not listen yet. */
  addListener(listener: SocketServer): void {
    this.listeners.push(listener);
    listener.on('connection', (socket: Socket) => {
      this.server.emit('connection', socket);
    });
  }

  /** Number of open connections. */
  get size(): number {
    return this.connections.size;
  }

  /** True if no connection is open and none is accepted any more. */
  get areClosed(): boolean {
    return this.connections.size === 0 && !this.listeners.some(({ listening }) => listening);
  }

  /** Bytes of responses that wait for their callers to read, in all connections. */
  get unsentBytes(): number {
    const sockets = [...this.connections.keys()];
    return sockets.reduce((sum, { writableLength }) => sum + writableLength, 0);
  }

  find(socket: Socket): CallerConnection | undefined {
    return this.connections.get(socket);
  }

  /** Records a request whose head has been read, until its response has been written out. */
  beginRequest(socket: Socket, response: ServerResponse): void {
    this.connections.get(socket)?.beginRequest(response);
    response.once('close', () => this.continueClosing());
  }

  /**
   * Closes the connection after a response unless other requests wait for theirs. Called before the
   * head of the response is written.
   */
  closeAfter(response: ServerResponse): void {
    if (this.connections.get(response.req.socket)?.isOnlyOpen(response) === true) {
      response.shouldKeepAlive = false;
    }
  }

  /** Closes the connection within a response that cannot be completed. */
  cut(response: ServerResponse, reason: ConnectionCloseReason): void {
    this.connections.get(response.req.socket)?.cut(response, reason);
  }

  /**
   * Closes a connection after a response to bytes that are not a valid request. Requests that were
   * read before them are answered first.
   */
  reject(socket: Socket, rejection: string): void {
    this.connections.get(socket)?.reject(rejection);
  }

  /**
   * Closes a connection after the response to a CONNECT request, for which the HTTP server gives up the
   * socket. Requests that were read before it are answered first.
   */
  rejectTunnel(socket: Socket, rejection: string): void {
    const connection = this.connections.get(socket);
    // Without a listener, a reset by the caller would end the process.
    socket.on('error', () => {});
    socket.once('end', () => socket.destroy());
    connection?.discard();
    connection?.keepWriting();
    this.reject(socket, rejection);
  }

  /** Records that a request has been passed on to an endpoint. */
  recordPassedOn(response: ServerResponse, identifier: string | undefined): void {
    this.connections.get(response.req.socket)?.recordPassedOn(response, identifier);
  }

  /** Calls the listener when a connection has closed, until the returned function is called. */
  onClose(listener: ClosedConnectionListener): () => void {
    this.closeListeners.add(listener);
    return () => this.closeListeners.delete(listener);
  }

  /** True if this process has closed the connection because it stops. */
  wasClosed(socket: Socket): boolean {
    return closeReasonOf(socket) === ConnectionCloseReason.Shutdown;
  }

  /**
   * Stops listening and closes idle connections, once connections and requests that have already
   * arrived are read. May be repeated. Each connection that stays open has a request that is being
   * read, waits to be handled or is not completely answered.
   */
  closeIdle(): void {
    if (this.isIdleCloseScheduled) {
      return;
    }
    this.isIdleCloseScheduled = true;
    const { acceptedCount } = this;
    afterPendingReads(() => {
      this.isIdleCloseScheduled = false;
      if (this.acceptedCount > acceptedCount) {
        this.closeIdle();
      } else {
        this.closeIdleNow();
      }
    });
  }

  /**
   * Stops listening and closes each connection when it is idle, or when its caller has neither sent
   * nor read anything for the given time. Resolves when none is left.
   */
  async closeAllWhenIdle(stallTimeoutMilliseconds: number): Promise<void> {
    for (const connection of this.connections.values()) {
      connection.setStallTimeout(stallTimeoutMilliseconds);
    }
    await new Promise<void>((resolve) => {
      this.onAllClosed = resolve;
      this.closeIdle();
    });
  }

  /** Stops listening and closes all connections, including those with open requests. */
  close(): void {
    for (const connection of this.connections.values()) {
      connection.close(ConnectionCloseReason.Shutdown);
    }
    this.listeners.forEach((listener) => listener.close());
  }

  private add(socket: Socket): void {
    this.acceptedCount += 1;
    const connection = new CallerConnection(socket);
    this.connections.set(socket, connection);
    // Before the responses close.
    socket.prependOnceListener('close', () => {
      const reason = closeReasonOf(socket);
      const unansweredRequests = connection.takeUnanswered();
      this.closeListeners.forEach((listener) => listener({ reason, unansweredRequests }));
    });
    socket.once('close', () => {
      this.connections.delete(socket);
      connection.closeQueuedResponses();
      this.continueClosing();
    });
    this.continueClosing();
  }

  /** Closes a connection whose caller has neither sent nor read anything for too long. */
  private handleTimeout(socket: Socket): void {
    const { bytesRead } = socket;
    const timeout = this.idleTimeoutMilliseconds() + IDLE_TIMEOUT_MARGIN_MILLISECONDS;
    afterPendingReads(() => {
      if (socket.bytesRead > bytesRead) {
        return;
      }
      const isIdle = this.connections.get(socket)?.isIdle === true;
      if (isIdle && timeout > (socket.timeout ?? 0)) {
        // The timeout has been raised while the connection was idle.
        socket.setTimeout(timeout);
      } else {
        const { IdleTimeout, CallerStall } = ConnectionCloseReason;
        recordCloseReason(socket, isIdle ? IdleTimeout : CallerStall);
        socket.destroy();
      }
    });
  }

  private continueClosing(): void {
    if (this.onAllClosed !== undefined) {
      this.closeIdle();
    }
  }

  private closeIdleNow(): void {
    // The HTTP server would also close connections whose responses have not been written out.
    this.listeners.forEach((listener) => SocketServer.prototype.close.call(listener));
    for (const { isIdle, socket } of this.connections.values()) {
      if (isIdle) {
        recordCloseReason(socket, ConnectionCloseReason.Shutdown);
        socket.destroy();
      }
    }
    if (this.connections.size === 0) {
      this.onAllClosed?.();
    }
  }
}
