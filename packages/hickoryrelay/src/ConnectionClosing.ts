import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Why the connection of a caller was closed. */
export const ConnectionCloseReason = {
  /** The caller closed it, or the network failed. */
  Caller: 'caller',
  /** The response after which it closes was written out. */
  FinalResponse: 'final-response',
  /** It carried no request for the idle timeout. */
  IdleTimeout: 'idle-timeout',
  /** The caller has neither sent nor read anything for too long. */
  CallerStall: 'caller-stall',
  /** Bytes that are not a valid request were rejected, or a request was before it was read. */
  Rejection: 'rejection',
  /** A request could not be read. */
  UnreadRequest: 'unread-request',
  /** A response that had begun could not be completed. */
  IncompleteResponse: 'incomplete-response',
  /** A response for a caller that takes no chunks exceeded the limit on what is collected. */
  ResponseSize: 'response-size',
  /** The memory for all callers is used. */
  Memory: 'memory',
  /** All connections for callers are open. */
  Connections: 'connections',
  /** This process stops. */
  Shutdown: 'shutdown',
} as const;

export type ConnectionCloseReason =
  (typeof ConnectionCloseReason)[keyof typeof ConnectionCloseReason];

const reasons = new WeakMap<Socket, ConnectionCloseReason>();

/** Records why this process closes a connection. Further calls have no effect. */
export function recordCloseReason(socket: Socket, reason: ConnectionCloseReason): void {
  if (!socket.destroyed && !reasons.has(socket)) {
    reasons.set(socket, reason);
  }
}

/** Why a connection was closed: by its caller unless a reason was recorded. */
export function closeReasonOf(socket: Socket): ConnectionCloseReason {
  return reasons.get(socket) ?? ConnectionCloseReason.Caller;
}

/** Closes the connection of a response, or later if an earlier response is being written. */
export function closeConnectionOf(response: ServerResponse, reason: ConnectionCloseReason): void {
  recordCloseReason(response.req.socket, reason);
  response.destroy();
}

/**
 * Resets the connection that a response is written to. A normal close may look like the end of the response to
 * a caller that does not check framing.
 */
export function resetConnectionOf(response: ServerResponse, reason: ConnectionCloseReason): void {
  const { socket } = response;
  if (socket !== null) {
    recordCloseReason(socket, reason);
    socket.resetAndDestroy();
  }
}

/** A request that was passed on to an endpoint and whose connection closed before its response was written out. */
export interface UnansweredRequest {
  readonly identifier: string | undefined;
  /** Bytes of its response that were written. */
  readonly writtenBytes: number;
  /** Other requests of the connection that were read and not answered. */
  readonly otherRequests: number;
}

/** A connection of a caller that has closed. */
export interface ClosedConnection {
  readonly reason: ConnectionCloseReason;
  readonly unansweredRequests: readonly UnansweredRequest[];
}

export type ClosedConnectionListener = (connection: ClosedConnection) => void;
