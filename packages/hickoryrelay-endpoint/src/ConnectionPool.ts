import type { Clock } from 'hickoryrelay/Clock';

/** A connection to an endpoint that carries one request at a time. */
export abstract class PooledConnection {
  /** False if no further request can be sent on the connection. */
  abstract get isReusable(): boolean;

  /** Calls the action once the connection has closed, whoever closed it. */
  abstract onClose(action: () => void): void;

  abstract close(): void;
}

/** Limits of a pool. */
export interface ConnectionPoolLimits {
  /** Connections, in use and idle, beyond which idle ones are closed. */
  readonly connections: number;
  /** Time after which an idle connection is not used any more, in milliseconds. */
  readonly idleMilliseconds: number;
}

interface IdleConnection {
  readonly address: string;
  readonly sinceMilliseconds: number;
}

/**
 * The connections of a process to its endpoints. Designed for requests that not every idle connection can
 * carry: idle connections make room for new ones, the one that was used longest ago first, so that their number
 * does not rise with the requests that none of them could carry.
 */
export class ConnectionPool<Connection extends PooledConnection> {
  private readonly limits: ConnectionPoolLimits;

  private readonly clock: Clock;

  private readonly connections = new Set<Connection>();

  /** In the order of their last use. */
  private readonly idle = new Map<Connection, IdleConnection>();

  private readonly idleByAddress = new Map<string, Connection[]>();

  private openingCount = 0;

  constructor(limits: ConnectionPoolLimits, clock: Clock) {
    this.limits = limits;
    this.clock = clock;
  }

  /** Connections that are open or being opened. */
  get size(): number {
    return this.connections.size + this.openingCount;
  }

  get idleConnections(): number {
    return this.idle.size;
  }

  /** Takes the idle connection that was used last and is suitable, or opens a new one. */
  async acquire(
    address: string,
    isSuitable: (connection: Connection) => boolean,
    open: () => Promise<Connection>,
  ): Promise<Connection> {
    const idle = this.takeIdle(address, isSuitable);
    if (idle !== undefined) {
      return idle;
    }
    this.openingCount += 1;
    try {
      this.makeRoom();
      const connection = await open();
      this.connections.add(connection);
      connection.onClose(() => {
        this.connections.delete(connection);
        this.removeIdle(connection);
      });
      return connection;
    } finally {
      this.openingCount -= 1;
    }
  }

  /** Gives back a connection that carries no request. Closes it if it cannot carry another one. */
  release(address: string, connection: Connection): void {
    if (!connection.isReusable) {
      connection.close();
      return;
    }
    this.idle.set(connection, { address, sinceMilliseconds: this.clock.monotonicMilliseconds() });
    const idle = this.idleByAddress.get(address);
    if (idle === undefined) {
      this.idleByAddress.set(address, [connection]);
    } else {
      idle.push(connection);
    }
    this.makeRoom();
  }

  /** Closes the idle connections to all other addresses. */
  retain(addresses: ReadonlySet<string>): void {
    for (const [connection, { address }] of [...this.idle]) {
      if (!addresses.has(address)) {
        this.closeIdle(connection);
      }
    }
  }

  private takeIdle(
    address: string,
    isSuitable: (connection: Connection) => boolean,
  ): Connection | undefined {
    const expiredBefore = this.clock.monotonicMilliseconds() - this.limits.idleMilliseconds;
    const candidates = this.idleByAddress.get(address) ?? [];
    for (let index = candidates.length - 1; index >= 0; index -= 1) {
      const candidate = candidates[index] as Connection;
      const { sinceMilliseconds = 0 } = this.idle.get(candidate) ?? {};
      if (!candidate.isReusable || sinceMilliseconds <= expiredBefore) {
        this.closeIdle(candidate);
      } else if (isSuitable(candidate)) {
        this.removeIdle(candidate);
        return candidate;
      }
    }
    return undefined;
  }

  private makeRoom(): void {
    for (const connection of this.idle.keys()) {
      if (this.size <= this.limits.connections) {
        return;
      }
      this.closeIdle(connection);
    }
  }

  private closeIdle(connection: Connection): void {
    this.removeIdle(connection);
    this.connections.delete(connection);
    connection.close();
  }

  private removeIdle(connection: Connection): void {
    const entry = this.idle.get(connection);
    if (entry === undefined) {
      return;
    }
    this.idle.delete(connection);
    const others = this.idleByAddress.get(entry.address) ?? [];
    others.splice(others.lastIndexOf(connection), 1);
    if (others.length === 0) {
      this.idleByAddress.delete(entry.address);
    }
  }
}
