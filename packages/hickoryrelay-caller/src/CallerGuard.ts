import { ConnectionCloseReason, recordCloseReason } from 'hickoryrelay/ConnectionClosing';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { CallerPhase } from './CallerAccount.js';
import { CallerMemory, PauseReason } from './CallerMemory.js';
import { CallerReads, ReadPermission } from './CallerReads.js';
import { CallerRequest } from './CallerRequest.js';
import { RefusalReason } from './RefusalReason.js';
import { RequestSlots } from './RequestSlots.js';
import { SampledLog } from './SampledLog.js';

import type { CallerAccount } from './CallerAccount.js';
import type { CallerLimits } from './CallerLimits.js';
import type { CallerConnection } from 'hickoryrelay/CallerConnection';
import type { CallerConnections } from 'hickoryrelay/CallerConnections';
import type { Clock } from 'hickoryrelay/Clock';
import type { ClosedConnection } from 'hickoryrelay/ConnectionClosing';
import type { Failure } from 'hickoryrelay/Failure';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Time between two checks of progress and time limits. Timers of each request would cost more. */
const CHECK_MILLISECONDS = 500;

const RETRY_AFTER_SECONDS = 1;

/** Connections beyond their limit that are open until they are refused, as a share of the limit. */
const REFUSED_SHARE = 0.0625;

/** How long a connection that is refused may take to send its first bytes. */
const REFUSAL_MILLISECONDS = 1000;

/** The failure of a request on a connection beyond the limit. */
const CONNECTIONS_FAILURE: Failure = {
  kind: FailureKind.Overloaded,
  reason: 'too many connections of callers',
  retryAfterSeconds: RETRY_AFTER_SECONDS,
};

function closeReasonFor(reason: RefusalReason): ConnectionCloseReason {
  return reason === RefusalReason.Memory
    ? ConnectionCloseReason.Memory
    : ConnectionCloseReason.UnreadRequest;
}

/** Dependencies of the guard. */
export interface CallerGuardParts {
  readonly limits: CallerLimits;
  readonly clock: Clock;
  readonly log: ComponentLogger;
  /** The bytes of a response to a connection whose request has not been read. */
  readonly encodeRejection: (failure: Failure) => string;
}

/**
 * Owns what a process holds for the callers of an HTTP server. While there is too little memory, it stops
 * reading from sockets; then it refuses requests and closes connections, first those that have made no progress
 * for the longest time.
 */
export class CallerGuard extends ReadPermission {
  private readonly parts: CallerGuardParts;

  private readonly memory: CallerMemory;

  private readonly slots: RequestSlots;

  private readonly connections: CallerConnections;

  private readonly readsByAccount = new Map<CallerAccount, CallerReads>();

  private readonly readsBySocket = new WeakMap<Socket, CallerReads>();

  private readonly requests = new WeakMap<IncomingMessage, CallerRequest>();

  /** Connections of which nothing is read, with the reason and the time since when. */
  private readonly waiting = new Map<
    CallerReads,
    { readonly reason: PauseReason; readonly sinceMilliseconds: number }
  >();

  /** Connections beyond the limit that are open until they have been refused. */
  private readonly refused = new Set<Socket>();

  private readonly refusalCounts = new Map<RefusalReason, number>();

  private readonly pauseCounts = new Map<PauseReason, number>();

  private readonly closeCounts = new Map<ConnectionCloseReason, number>();

  private readonly unansweredCounts = new Map<ConnectionCloseReason, number>();

  private readonly log: SampledLog;

  private isWakeScheduled = false;

  private isEvicting = false;

  private cancelCheck = () => {};

  /** `server` must not listen yet, and `connections` must have been created for it. */
  constructor(server: Server, connections: CallerConnections, parts: CallerGuardParts) {
    super();
    this.parts = parts;
    this.connections = connections;
    this.memory = new CallerMemory(parts.limits, () => this.scheduleWake());
    this.slots = new RequestSlots(parts.limits.requests);
    this.log = new SampledLog(parts.log, parts.clock);
    server.on('connection', (socket: Socket) => this.open(socket));
    server.once('listening', () => this.scheduleCheck());
    server.once('close', () => {
      if (connections.areClosed) {
        this.cancelCheck();
      }
    });
    connections.onClose((connection) => this.recordClose(connection));
  }

  get limits(): CallerLimits {
    return this.parts.limits;
  }

  /** Memory that is held for callers. */
  get heldBytes(): number {
    return this.memory.usedBytes;
  }

  get openConnections(): number {
    return this.memory.connections;
  }

  get openRequests(): number {
    return this.memory.openRequests;
  }

  /** Requests that run. */
  get runningRequests(): number {
    return this.slots.running;
  }

  /** Connections of which nothing is read for now. */
  get pausedConnections(): number {
    return this.waiting.size;
  }

  /** Requests and connections that were refused or closed for the reason. */
  refusalsFor(reason: RefusalReason): number {
    return this.refusalCounts.get(reason) ?? 0;
  }

  /** How often the reading of a connection was stopped for the reason. */
  pausesFor(reason: PauseReason): number {
    return this.pauseCounts.get(reason) ?? 0;
  }

  /** Connections that were closed for the reason. */
  closesFor(reason: ConnectionCloseReason): number {
    return this.closeCounts.get(reason) ?? 0;
  }

  /** Requests that were passed on and whose connection closed for the reason before their responses were written out. */
  unansweredFor(reason: ConnectionCloseReason): number {
    return this.unansweredCounts.get(reason) ?? 0;
  }

  /** Records a request whose head has been read, until its response has been written out. */
  begin(message: IncomingMessage, response: ServerResponse): CallerRequest {
    const reads = this.readsBySocket.get(message.socket);
    const now = this.parts.clock.monotonicMilliseconds();
    // A socket that has closed holds nothing more.
    const account = reads?.account ?? this.closedAccount(now);
    const request = new CallerRequest({
      message,
      response,
      connection: reads?.connection,
      account,
      slots: this.slots,
      now,
      recordRefusal: (reason) => this.recordRefusal(reason),
    });
    this.requests.set(message, request);
    if (reads !== undefined) {
      reads.request = request;
    }
    return request;
  }

  /** The request that was recorded for a message. */
  find(message: IncomingMessage): CallerRequest | undefined {
    return this.requests.get(message);
  }

  /** Records that a request was refused. */
  private recordRefusal(reason: RefusalReason): void {
    this.refusalCounts.set(reason, this.refusalsFor(reason) + 1);
    this.log.warn(reason, 'A caller was refused.', {
      reason,
      heldBytes: this.memory.usedBytes,
      connections: this.memory.connections,
      requests: this.memory.openRequests,
    });
  }

  private recordClose({ reason, unansweredRequests }: ClosedConnection): void {
    this.closeCounts.set(reason, this.closesFor(reason) + 1);
    const count = unansweredRequests.length;
    this.unansweredCounts.set(reason, this.unansweredFor(reason) + count);
    if (reason === ConnectionCloseReason.Caller) {
      return;
    }
    for (const { identifier, writtenBytes, otherRequests } of unansweredRequests) {
      this.log.warn(`closed ${reason}`, 'A connection closed before a response was complete.', {
        reason,
        request: identifier,
        writtenBytes,
        otherRequests,
      });
    }
  }

  /** Counts what a caller has not read. Called when a write finds the caller behind. */
  recordBacklog(socket: Socket): void {
    this.readsBySocket.get(socket)?.countUnsent();
    this.recordBuffered();
  }

  override mayRead(reads: CallerReads, bytes: number): boolean {
    const reason = this.memory.pauseReasonFor(reads.account, bytes);
    const entry = this.waiting.get(reads);
    const now = this.parts.clock.monotonicMilliseconds();
    reads.account.setWaitingForMemory(reason === PauseReason.Memory, now);
    if (reason === undefined) {
      if (entry !== undefined) {
        this.waiting.delete(reads);
      }
      return true;
    }
    if (reason === PauseReason.ConnectionMemory && reads.isAlone) {
      this.refuseSize(reads);
      return false;
    }
    if (entry?.reason !== reason) {
      this.waiting.set(reads, { reason, sinceMilliseconds: now });
      this.pauseCounts.set(reason, this.pausesFor(reason) + 1);
    }
    return false;
  }

  override mayReceiveAhead({ bufferedBytes }: CallerReads): boolean {
    return this.memory.mayReceiveAhead(bufferedBytes);
  }

  override recordBuffered(): void {
    if (this.memory.isOverfull && !this.isEvicting) {
      this.evict(this.parts.clock.monotonicMilliseconds());
    }
  }

  override forget(reads: CallerReads): void {
    this.waiting.delete(reads);
  }

  /** Checks the progress and the time limits of all connections. */
  check(): void {
    const now = this.parts.clock.monotonicMilliseconds();
    for (const reads of this.readsByAccount.values()) {
      reads.observe(now);
      this.checkBody(reads, now);
    }
    this.evict(now);
  }

  private scheduleCheck(): void {
    this.cancelCheck = this.parts.clock.schedule(CHECK_MILLISECONDS, () => {
      this.check();
      // The server may have closed before the connections of its other listeners.
      if (!this.connections.areClosed) {
        this.scheduleCheck();
      }
    });
  }

  private open(socket: Socket): void {
    const connection = this.connections.find(socket);
    if (connection === undefined) {
      return;
    }
    const now = this.parts.clock.monotonicMilliseconds();
    if (this.memory.hasAllConnections && !this.closeForConnection(now)) {
      this.refuseConnection(connection);
      return;
    }
    const account = this.memory.open(now);
    this.retireConnection();
    const reads = new CallerReads(connection, account, this);
    connection.reads = reads;
    this.readsByAccount.set(account, reads);
    this.readsBySocket.set(socket, reads);
    // Before the responses close, whose slots would go to requests of the same connection.
    socket.prependOnceListener('close', () => {
      this.readsByAccount.delete(account);
      this.slots.forget(account);
      account.close();
    });
  }

  /** Closes a connection for another one. Returns false if none may be closed. */
  private closeForConnection(now: number): boolean {
    const victim =
      this.findAnswered() ??
      this.memory.victimForConnection(now, (account) => this.mayClose(account));
    if (victim === undefined) {
      return false;
    }
    this.recordRefusal(RefusalReason.Connections);
    this.closeAccount(victim, ConnectionCloseReason.Connections);
    return true;
  }

  /** True if nothing on the connection was passed on, or if its caller sends more than may be read. */
  private mayClose(account: CallerAccount): boolean {
    const reads = this.readsByAccount.get(account);
    return reads?.connection.hasPassedOn !== true || this.waiting.has(reads);
  }

  /** A connection that stays open only until its caller has closed it too. */
  private findAnswered(): CallerAccount | undefined {
    return [...this.memory.retired].find(
      (account) => this.readsByAccount.get(account)?.connection.hasEnded === true,
    );
  }

  /** Lets a connection with pipelined requests close after a response if nearly all are open. */
  private retireConnection(): void {
    const account = this.memory.retire();
    if (account !== undefined) {
      this.readsByAccount.get(account)?.connection.closeAfterNextHead();
    }
  }

  /** Closes a connection beyond the limit, after a response to its first request if there is a descriptor for it. */
  private refuseConnection(connection: CallerConnection): void {
    const { socket } = connection;
    this.recordRefusal(RefusalReason.Connections);
    recordCloseReason(socket, ConnectionCloseReason.Connections);
    if (this.refused.size >= Math.max(1, this.parts.limits.connections * REFUSED_SHARE)) {
      socket.destroy();
      return;
    }
    this.refused.add(socket);
    const cancelTimer = this.parts.clock.schedule(REFUSAL_MILLISECONDS, () => socket.destroy());
    socket.once('close', () => {
      cancelTimer();
      this.refused.delete(socket);
    });
    socket.removeAllListeners('data');
    // Some callers take a response that comes before their request for an error.
    socket.once('data', () => {
      cancelTimer();
      connection.reject(this.parts.encodeRejection(CONNECTIONS_FAILURE));
    });
  }

  /** The account of a connection that is not open any more. */
  private closedAccount(now: number): CallerAccount {
    const account = this.memory.open(now);
    account.close();
    return account;
  }

  private checkBody(reads: CallerReads, now: number): void {
    const { bodyTimeoutMilliseconds, bodyStallMilliseconds } = this.parts.limits;
    const { account, request } = reads;
    const { readingSinceMilliseconds: since } = account;
    if (since === undefined || request === undefined) {
      return;
    }
    const isPaused = this.waiting.has(reads);
    const isStalled =
      !isPaused && now - Math.max(since, account.progressMilliseconds) >= bodyStallMilliseconds;
    const isLate = now - since >= bodyTimeoutMilliseconds;
    if (!isStalled && !isLate) {
      return;
    }
    const reason = isLate ? RefusalReason.BodyTime : RefusalReason.BodyStall;
    const limitMilliseconds = isLate ? bodyTimeoutMilliseconds : bodyStallMilliseconds;
    this.refuse(reads, reason, { kind: FailureKind.RequestTimeout, limitMilliseconds });
  }

  /** Makes room while connections wait for memory. */
  private evict(now: number): void {
    let waitingMilliseconds = 0;
    let heldBytes: number | undefined;
    for (const [{ account }, { reason, sinceMilliseconds }] of this.waiting) {
      if (reason === PauseReason.Memory) {
        waitingMilliseconds = Math.max(waitingMilliseconds, now - sinceMilliseconds);
        heldBytes = Math.max(heldBytes ?? 0, account.heldBytes);
      }
    }
    if (heldBytes === undefined && !this.memory.isOverfull) {
      return;
    }
    this.isEvicting = true;
    let leavingBytes = 0;
    for (const account of this.memory.victims(now, waitingMilliseconds)) {
      if (this.memory.hasRoom(heldBytes ?? 0, leavingBytes)) {
        break;
      }
      const reads = this.readsByAccount.get(account);
      if (reads !== undefined) {
        this.refuse(reads, RefusalReason.Memory, {
          kind: FailureKind.Overloaded,
          reason: 'too little memory for more callers',
          retryAfterSeconds: RETRY_AFTER_SECONDS,
        });
        leavingBytes += account.heldBytes;
      }
    }
    for (const reads of this.readsByAccount.values()) {
      if (this.memory.hasRoom(heldBytes ?? 0, leavingBytes)) {
        break;
      }
      reads.dropCollected();
    }
    this.isEvicting = false;
  }

  /** Refuses a request that one connection cannot hold. */
  private refuseSize(reads: CallerReads): void {
    const [part, reason] = reads.hasOpenHead
      ? (['header', RefusalReason.HeadSize] as const)
      : (['body', RefusalReason.BodySize] as const);
    const limitBytes = this.parts.limits.connectionBytes;
    this.refuse(reads, reason, { kind: FailureKind.RequestTooLarge, part, limitBytes });
  }

  /** Refuses the request that is being read. Closes the connection if there is none. */
  private refuse(reads: CallerReads, reason: RefusalReason, failure: Failure): void {
    const { account, connection, request } = reads;
    this.recordRefusal(reason);
    const isReading = account.phase === CallerPhase.Reading;
    if (isReading && request?.fail(new RelayError(failure)) === true) {
      reads.discard();
    } else if (isReading || (account.phase === CallerPhase.Idle && reads.isWaitedFor)) {
      // Also for a body that no handler reads, as earlier requests of the connection may run.
      account.readingSinceMilliseconds = undefined;
      connection.reject(this.parts.encodeRejection(failure));
    } else {
      this.closeAccount(account, closeReasonFor(reason));
    }
  }

  private closeAccount(account: CallerAccount, reason: ConnectionCloseReason): void {
    this.readsByAccount.get(account)?.connection.close(reason);
    this.readsByAccount.delete(account);
    this.slots.forget(account);
    account.close();
  }

  /** Lets waiting connections go on once what was released in this turn of the event loop is known. */
  private scheduleWake(): void {
    if (!this.isWakeScheduled && this.waiting.size > 0) {
      this.isWakeScheduled = true;
      setImmediate(() => {
        this.isWakeScheduled = false;
        this.wake();
      });
    }
  }

  /** Lets connections go on, first those that hold least. */
  private wake(): void {
    [...this.waiting.keys()]
      .sort((left, right) => left.account.heldBytes - right.account.heldBytes)
      .forEach((reads) => reads.run());
  }
}
