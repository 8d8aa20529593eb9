import { Client, Pool } from 'undici';

import { EndpointLink } from './EndpointLink.js';
import { HttpResponseStream } from './HttpResponseStream.js';

import type { Call } from './Call.js';
import type { ResumePoint } from './EndpointLink.js';
import type { ResponseStream } from './ResponseStream.js';
import type { EndpointLocation } from 'hickoryrelay-endpoint/Endpoint';
import type { Dispatcher } from 'undici';

const CONNECT_TIMEOUT_MILLISECONDS = 1000;

/**
 * The exchange detects stalls with the `Clock` of the instance, so the timeouts of the library are
 * disabled. A pipelining factor of 1 allows one call at a time on each connection.
 */
const CONNECTION_OPTIONS = {
  pipelining: 1,
  connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
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
  readonly responses: Set<HttpResponseStream>;
}

/** A link over HTTP/1.1 with one call at a time on each connection. */
export abstract class HttpEndpointLink extends EndpointLink {
  protected readonly location: EndpointLocation;

  private current: ConnectionGroup;

  /** The current group, and retired groups with calls in progress. */
  private readonly groups = new Set<ConnectionGroup>();

  constructor(location: EndpointLocation) {
    super();
    this.location = location;
    this.current = this.openGroup();
  }

  /** Encodes a call from its typed fields. */
  protected abstract encode(call: Call, resume: ResumePoint | undefined): EncodedCall;

  override send(call: Call, signal: AbortSignal, resume?: ResumePoint): ResponseStream {
    const encoded = this.encode(call, resume);
    return call.isIdempotent
      ? this.sendOnPool(call, encoded, signal)
      : this.sendOnNewConnection(call, encoded, signal);
  }

  override async close(): Promise<void> {
    const groups = [...this.groups];
    this.groups.clear();
    await Promise.all(groups.map(({ pool }) => pool.destroy()));
  }

  private sendOnPool(call: Call, encoded: EncodedCall, signal: AbortSignal): ResponseStream {
    const group = this.current;
    const response = new HttpResponseStream(this.location.identifier, signal, {
      onEnd: (ended) => {
        group.responses.delete(ended);
        this.closeWhenIdle(group);
      },
      onSilence: () => this.retire(group),
    });
    group.responses.add(response);
    return HttpEndpointLink.dispatch(group.pool, call, encoded, response);
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
  ): ResponseStream {
    const client = new Client(this.location.url, CONNECTION_OPTIONS);
    const response = new HttpResponseStream(this.location.identifier, signal, {
      onEnd: () => {
        void client.destroy();
      },
      onSilence: () => this.retire(this.current),
    });
    return HttpEndpointLink.dispatch(client, call, encoded, response);
  }

  private static dispatch(
    dispatcher: Dispatcher,
    call: Call,
    { method, path, headers, body }: EncodedCall,
    response: HttpResponseStream,
  ): ResponseStream {
    dispatcher.dispatch(
      {
        method,
        path,
        headers: { ...headers, 'x-request-id': call.requestIdentifier },
        body,
      },
      response,
    );
    return response;
  }

  private openGroup(): ConnectionGroup {
    const pool = new Pool(this.location.url, { ...CONNECTION_OPTIONS, connections: null });
    const group = { pool, responses: new Set<HttpResponseStream>() };
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
