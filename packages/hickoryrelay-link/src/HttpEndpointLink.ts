import { Client, Pool } from 'undici';
import { SystemClock } from 'hickoryrelay/Clock';

import { EndpointConnections } from './EndpointConnections.js';
import { EndpointLink } from './EndpointLink.js';
import { HttpResponseStream, REQUEST_IDENTIFIER_HEADER } from './HttpResponseStream.js';

import type { Call } from './Call.js';
import type { ResumePoint } from './EndpointLink.js';
import type { HttpResponseObserver } from './HttpResponseStream.js';
import type { ResponseStream } from './ResponseStream.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { EndpointLocation } from 'hickoryrelay-endpoint/Endpoint';
import type { SendPermit } from 'hickoryrelay-endpoint/EndpointAvailability';
import type { Dispatcher } from 'undici';

/**
 * The exchange detects stalls with the `Clock` of the instance, so the timeouts of the library are
 * disabled. A pipelining factor of 1 allows one call at a time on each connection.
 */
const CONNECTION_OPTIONS = {
  pipelining: 1,
  headersTimeout: 0,
  bodyTimeout: 0,
} as const;

/** A call encoded as an HTTP request. */
export interface EncodedCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | string | null;
}

/** Connections that are retired together if one of them stalls. */
interface ConnectionGroup {
  readonly pool: Pool;
  readonly connections: EndpointConnections;
  readonly responses: Set<HttpResponseStream>;
}

/** A link over HTTP/1.1 with one call at a time on each connection. */
export abstract class HttpEndpointLink extends EndpointLink {
  protected readonly location: EndpointLocation;

  private readonly clock: Clock;

  /** Whether the last response repeated the identifier of its request; undefined before the first. */
  private repeatsIdentifier: boolean | undefined;

  private current: ConnectionGroup;

  /** The current group, and retired groups with calls in progress. */
  private readonly groups = new Set<ConnectionGroup>();

  constructor(location: EndpointLocation, clock: Clock = new SystemClock()) {
    super();
    this.location = location;
    this.clock = clock;
    this.current = this.openGroup();
  }

  /** Encodes a call from its typed fields. */
  protected abstract encode(call: Call, resume: ResumePoint | undefined): EncodedCall;

  /**
   * True if the body of a response identifies its request, so that a second copy of an earlier
   * response is detected there.
   */
  protected abstract get isBodyIdentified(): boolean;

  override send(
    call: Call,
    signal: AbortSignal,
    resume?: ResumePoint,
    permit?: SendPermit,
  ): ResponseStream {
    const encoded = this.encode(call, resume);
    return call.isIdempotent
      ? this.sendOnPool(call, encoded, signal, permit)
      : this.sendOnNewConnection(call, encoded, signal, permit);
  }

  override async close(): Promise<void> {
    const groups = [...this.groups];
    this.groups.clear();
    await Promise.all(groups.map(({ pool }) => pool.destroy()));
  }

  private sendOnPool(
    call: Call,
    encoded: EncodedCall,
    signal: AbortSignal,
    permit: SendPermit | undefined,
  ): ResponseStream {
    const group = this.current;
    const { breaks } = group.connections;
    const response = this.createResponse(call, signal, permit, group.connections, {
      onComplete: () => breaks.closeIfUnwritten(),
      onEnd: (ended) => {
        group.responses.delete(ended);
        this.closeWhenIdle(group);
      },
      onSilence: () => this.retire(group),
      wasBroken: () => breaks.isCurrent,
    });
    group.responses.add(response);
    const isReusable = this.isBodyIdentified || this.repeatsIdentifier === true;
    return HttpEndpointLink.dispatch(group.pool, call, encoded, response, isReusable);
  }

  private createResponse(
    call: Call,
    signal: AbortSignal,
    permit: SendPermit | undefined,
    connections: EndpointConnections,
    observer: Omit<HttpResponseObserver, 'onHead'>,
  ): HttpResponseStream {
    const { identifier } = this.location;
    const onHead = (isIdentified: boolean) => {
      this.repeatsIdentifier = isIdentified;
      return connections.current;
    };
    const head = { ...observer, onHead };
    return new HttpResponseStream(identifier, call.requestIdentifier, signal, head, permit);
  }

  /**
   * A keep-alive connection may be lost without either end noticing, and then it is unknown
   * whether a call on it ran. Calls that are not idempotent therefore use a connection of their
   * own.
   */
  private sendOnNewConnection(
    call: Call,
    encoded: EncodedCall,
    signal: AbortSignal,
    permit: SendPermit | undefined,
  ): ResponseStream {
    const connections = this.createConnections();
    const client = new Client(this.location.url, {
      ...CONNECTION_OPTIONS,
      connect: connections.connect,
    });
    const response = this.createResponse(call, signal, permit, connections, {
      onComplete: () => {},
      onEnd: () => {
        void client.destroy();
      },
      onSilence: () => this.retire(this.current),
      wasBroken: () => connections.breaks.isCurrent,
    });
    return HttpEndpointLink.dispatch(client, call, encoded, response, false);
  }

  /**
   * Sends a call. Unless the connection may be reused, it is closed after the response: a second copy
   * of a response could not be told from the response to the next call.
   */
  private static dispatch(
    dispatcher: Dispatcher,
    call: Call,
    { method, path, headers, body }: EncodedCall,
    response: HttpResponseStream,
    isReusable: boolean,
  ): ResponseStream {
    dispatcher.dispatch(
      {
        method,
        path,
        headers: { ...headers, [REQUEST_IDENTIFIER_HEADER]: call.requestIdentifier },
        body,
        reset: !isReusable,
      },
      response,
    );
    return response;
  }

  private createConnections(): EndpointConnections {
    return new EndpointConnections(this.location.identifier, this.clock);
  }

  private openGroup(): ConnectionGroup {
    const connections = this.createConnections();
    const pool = new Pool(this.location.url, {
      ...CONNECTION_OPTIONS,
      connect: connections.connect,
      connections: null,
    });
    const group = { pool, connections, responses: new Set<HttpResponseStream>() };
    this.groups.add(group);
    return group;
  }

  private retire(group: ConnectionGroup): void {
    for (const response of group.responses) {
      response.isConnectionSuspect = true;
    }
    if (group === this.current) {
      this.current = this.openGroup();
      this.closeWhenIdle(group);
    }
  }

  private closeWhenIdle(group: ConnectionGroup): void {
    if (group !== this.current && group.responses.size === 0 && this.groups.delete(group)) {
      void group.pool.destroy();
    }
  }
}
