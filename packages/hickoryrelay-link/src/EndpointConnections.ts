import { buildConnector } from 'undici';
import { ConnectionBreaks } from 'hickoryrelay/ConnectionBreaks';
import { invariant } from 'hickoryrelay/Invariant';
import { paceReads } from 'hickoryrelay/PacedReads';
import { ResponseAllowance } from 'hickoryrelay/ResponseAllowance';

import type { Clock } from 'hickoryrelay/Clock';
import type { BufferedBody } from 'hickoryrelay/ResponseAllowance';
import type { Socket } from 'node:net';

const CONNECT_TIMEOUT_MILLISECONDS = 1000;

const connectSocket = buildConnector({ timeout: CONNECT_TIMEOUT_MILLISECONDS });

/** One connection to an endpoint, which carries one response at a time. */
export class EndpointConnection {
  private readonly socket: Socket;

  private readonly allowance: ResponseAllowance;

  constructor(socket: Socket, allowance: ResponseAllowance) {
    this.socket = socket;
    this.allowance = allowance;
    allowance.begin(socket);
    paceReads(socket, { allowance });
  }

  /** Records that the head of a response has arrived. */
  recordHead(body: BufferedBody): void {
    this.allowance.recordHead(body);
  }

  /** Records bytes that have been taken from the body of the response. */
  recordTaken(bytes: number): void {
    this.allowance.recordTaken(bytes);
  }

  /** Records that the response is complete. What arrives later counts for the next one. */
  recordEnd(): void {
    this.allowance.begin(this.socket);
  }
}

/** The connections of a pool of the HTTP client library, which does not tell which one carries a response. */
export class EndpointConnections {
  readonly breaks = new ConnectionBreaks();

  private readonly endpoint: string;

  private readonly clock: Clock;

  private readonly connections = new WeakMap<Socket, EndpointConnection>();

  /** `endpoint` is the identifier of the endpoint, for errors. */
  constructor(endpoint: string, clock: Clock) {
    this.endpoint = endpoint;
    this.clock = clock;
  }

  /** Connects for the client library. */
  readonly connect: buildConnector.connector = (options, callback) => {
    connectSocket(options, (...result) => {
      if (result[0] === null) {
        this.observe(result[1]);
      }
      callback(...result);
    });
  };

  /** The connection whose bytes the client library parses now. For use while it reports a response. */
  get current(): EndpointConnection {
    const socket = this.breaks.lastRead;
    const connection = socket === undefined ? undefined : this.connections.get(socket);
    invariant(connection !== undefined, 'a response has arrived on no connection');
    return connection;
  }

  private observe(socket: Socket): void {
    const allowance = new ResponseAllowance(this.clock, `endpoint ${this.endpoint}`);
    this.connections.set(socket, new EndpointConnection(socket, allowance));
    this.breaks.observe(socket);
  }
}
