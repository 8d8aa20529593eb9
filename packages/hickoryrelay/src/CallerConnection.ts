import {
  ConnectionCloseReason,
  recordCloseReason,
  resetConnectionOf,
} from './ConnectionClosing.js';
import { discardInTurns } from './DiscardTurns.js';
import { collectedBytesOf, dropCollected } from './ResponseFraming.js';

import type { UnansweredRequest } from './ConnectionClosing.js';
import type { ConnectionReads } from './ConnectionReads.js';
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** How long a connection that is being closed stays open while its caller sends nothing. */
const LINGER_MILLISECONDS = 1000;

/** How long it stays open for a caller that goes on sending. */
const MAXIMUM_LINGER_MILLISECONDS = 5000;

/** One connection of a caller, and whether it carries a request or a response. */
export class CallerConnection {
  readonly socket: Socket;

  /** Reads the socket; undefined if the HTTP server does. */
  reads: ConnectionReads | undefined;

  /** Responses, not yet written out, to requests whose head has been read. */
  private readonly openResponses = new Set<ServerResponse>();

  /** Open responses that have been written out and have not emitted their close. */
  private readonly writtenOut = new WeakSet<ServerResponse>();

  /** Identifiers of the requests that were passed on to an endpoint and whose responses are not written out. */
  private readonly passedOn = new Map<ServerResponse, string | undefined>();

  private readonly unanswered: UnansweredRequest[] = [];

  /** Bytes written when the last response had been written out. */
  private answeredBytes = 0;

  /** Bytes read when the last response had been written out. */
  private handledBytes = 0;

  /** The response to bytes that are not a valid request. Defined once they have been read. */
  private rejection: string | undefined;

  private isLingering = false;

  /** Tells the response that is being written that the caller reads again. Belongs to the HTTP server. */
  private readonly drainListeners: readonly (() => void)[];

  private isDiscarding = false;

  /** True once a request has been read while an earlier one had no whole response. */
  private hasPipelined = false;

  /** True once a response has been written out. */
  private hasAnswered = false;

  constructor(socket: Socket) {
    this.socket = socket;
    this.drainListeners = socket.listeners('drain') as (() => void)[];
    // The HTTP server calls this after the last response and would destroy the socket, which resets the
    // connection if the caller has sent more.
    this.socket.destroySoon = () => this.linger(ConnectionCloseReason.FinalResponse);
  }

  /** Records a request until its response has been written out or the connection has closed. */
  beginRequest(response: ServerResponse): void {
    this.hasPipelined ||= this.openResponses.size > 0;
    this.openResponses.add(response);
    // Before the HTTP server closes the connection after its last response.
    response.prependOnceListener('finish', () => {
      this.passedOn.delete(response);
      this.writtenOut.add(response);
      this.hasAnswered = true;
      this.answeredBytes = this.socket.bytesWritten;
    });
    response.once('close', () => {
      this.openResponses.delete(response);
      this.handledBytes = this.socket.bytesRead - this.bufferedBytes;
      this.continueRejection();
    });
  }

  /** Records that a request has been passed on to an endpoint. */
  recordPassedOn(response: ServerResponse, identifier: string | undefined): void {
    if (this.openResponses.has(response) && !this.writtenOut.has(response)) {
      this.passedOn.set(response, identifier);
    }
  }

  /** Requests that were passed on and get no whole response, once the connection has closed. */
  takeUnanswered(): readonly UnansweredRequest[] {
    this.recordUnanswered();
    return this.unanswered;
  }

  /**
   * Closes the connection after a response to bytes that are not a valid request. Requests that were
   * read before them are answered first, unless the caller has left.
   */
  reject(rejection: string): void {
    if (this.socket.readableEnded && this.isAnswering) {
      // The caller has left, and the HTTP server takes the end for an error.
      this.socket.destroy();
    } else if (this.rejection === undefined) {
      this.rejection = rejection;
      this.reads?.discard();
      this.continueRejection();
    }
  }

  /** Writes the open responses on although the HTTP server has given up the socket. */
  keepWriting(): void {
    this.drainListeners.forEach((listener) => this.socket.on('drain', listener));
  }

  /** Number of requests whose head has been read and whose response has not been written out. */
  get openRequests(): number {
    return this.openResponses.size;
  }

  /** Bytes of responses that wait for the caller to read, or for their end. */
  get unsentBytes(): number {
    let bytes = this.socket.writableLength;
    for (const response of this.openResponses) {
      // The bytes of the response that has the socket are among those of the socket.
      bytes +=
        (response.socket === null ? response.writableLength : 0) + collectedBytesOf(response);
    }
    return bytes;
  }

  /** Bytes that the caller has to read before more can be written. */
  get unreadBytes(): number {
    return this.socket.writableLength;
  }

  /** Releases what is collected of responses, in whose place callers get a failure. */
  dropCollected(): void {
    this.openResponses.forEach((response) => dropCollected(response));
  }

  /** Closes the connection after the next response whose head is written. Requests behind it are not answered. */
  closeAfterNextHead(): void {
    const next = [...this.openResponses].find(({ headersSent }) => !headersSent);
    if (next !== undefined) {
      next.shouldKeepAlive = false;
    }
  }

  /** True if a request has been passed on to an endpoint and its response is not written out. */
  get hasPassedOn(): boolean {
    return this.passedOn.size > 0;
  }

  /** True once the connection stays open only until its caller has closed it too. */
  get hasEnded(): boolean {
    return this.isLingering;
  }

  /** True if bytes that arrive now belong to no request that will be answered. */
  get takesNoRequests(): boolean {
    return this.rejection !== undefined || this.isClosing;
  }

  /** True if no other request on the connection waits for its response. */
  isOnlyOpen(response: ServerResponse): boolean {
    return this.openResponses.size === 1 && this.openResponses.has(response);
  }

  /** True if the connection closes after an earlier response, so that this one is never sent. */
  closesBefore(response: ServerResponse): boolean {
    // Several requests may have been read before the first of them is handled.
    const open = [...this.openResponses];
    const earlier = open.slice(0, Math.max(0, open.indexOf(response)));
    return this.isLingering || earlier.some(({ shouldKeepAlive }) => !shouldKeepAlive);
  }

  /** True if the connection closes or will close after a response, so that later requests get none. */
  get isClosing(): boolean {
    return (
      this.isLingering || [...this.openResponses].some(({ shouldKeepAlive }) => !shouldKeepAlive)
    );
  }

  /** Bytes that have arrived and have not been parsed. */
  private get bufferedBytes(): number {
    return this.reads?.bufferedBytes ?? this.socket.readableLength;
  }

  /** True while the response to a request that was read whole is due. */
  private get isAnswering(): boolean {
    return [...this.openResponses].some(({ req }) => req.complete);
  }

  /** True if no request is being read or handled and no response is being written. */
  get isIdle(): boolean {
    return (
      this.openResponses.size === 0 &&
      this.socket.bytesRead === this.handledBytes &&
      !this.isLingering
    );
  }

  /** Drops all further bytes, so that the end of the connection is noticed. No request is read any more. */
  discard(): void {
    if (!this.isDiscarding) {
      this.isDiscarding = true;
      this.reads?.detach();
      discardInTurns(this.socket);
    }
  }

  /** Closes the connection when its caller has neither sent nor read anything for the given time. */
  setStallTimeout(milliseconds: number): void {
    if (!this.isLingering) {
      this.socket.setTimeout(milliseconds);
    }
  }

  /** Closes the responses that are queued behind another one, which are not sent any more. */
  closeQueuedResponses(): void {
    for (const response of [...this.openResponses]) {
      // Node emits 'close' on the response that has the socket, but not on those that wait for it.
      if (response.socket === null && !response.writableFinished) {
        response.destroy();
        response.emit('close');
      }
    }
  }

  /**
   * Closes the connection within the response that is being written. A reset would discard what the caller has
   * not read of earlier ones. A caller that keeps a connection finds the ends of responses by their framing.
   */
  cut(response: ServerResponse, reason: ConnectionCloseReason): void {
    if (this.hasPipelined || this.hasAnswered) {
      this.linger(reason);
    } else {
      resetConnectionOf(response, reason);
    }
  }

  /** Closes the connection. The caller cannot take an unfinished response for complete. */
  close(reason: ConnectionCloseReason): void {
    recordCloseReason(this.socket, reason);
    if (this.openResponses.size > 0 && !this.hasPipelined) {
      // A normal close may look like the end of a response to a caller that does not check framing.
      this.socket.resetAndDestroy();
    } else {
      this.socket.destroy();
    }
  }

  private continueRejection(): void {
    if (this.rejection === undefined || this.isAnswering) {
      return;
    }
    const hasBegun = [...this.openResponses].some(({ headersSent }) => headersSent);
    if (this.socket.writable && !hasBegun) {
      this.socket.write(this.rejection);
    }
    this.linger(ConnectionCloseReason.Rejection);
  }

  private recordUnanswered(): void {
    const open = [...this.openResponses].filter((response) => !this.writtenOut.has(response));
    const { bytesWritten } = this.socket;
    for (const [response, identifier] of this.passedOn) {
      this.unanswered.push({
        identifier,
        writtenBytes: response === open[0] ? bytesWritten - this.answeredBytes : 0,
        otherRequests: open.length - 1,
      });
    }
    this.passedOn.clear();
  }

  /**
   * Closes the connection once its caller has closed it too. Closing a socket with unread bytes would
   * reset the connection, and the caller would lose what it has not read yet.
   */
  private linger(reason: ConnectionCloseReason): void {
    const { socket } = this;
    if (this.isLingering) {
      return;
    }
    this.isLingering = true;
    recordCloseReason(socket, reason);
    this.recordUnanswered();
    this.reads?.detach();
    this.closeQueuedResponses();
    if (socket.destroyed) {
      // Its timers would keep the connection and all its requests, as it does not close again.
      return;
    }
    socket.end();
    this.discard();
    // The HTTP server no longer handles the timeout of a socket that has carried a CONNECT request.
    // A caller that pipelines may send more before it reads, and the system answers that with a reset.
    const idleMilliseconds = this.hasPipelined ? MAXIMUM_LINGER_MILLISECONDS : LINGER_MILLISECONDS;
    socket.setTimeout(idleMilliseconds, () => socket.destroy());
    const timer = setTimeout(() => socket.destroy(), MAXIMUM_LINGER_MILLISECONDS);
    socket.once('close', () => clearTimeout(timer));
  }
}
