import { Client, Pool } from 'undici';

import { EndpointLink } from './EndpointLink.js';
import { HttpAnswer } from './HttpAnswer.js';

import type { AnswerStream } from './AnswerStream.js';
import type { Call } from './Call.js';
import type { ResumePoint } from './EndpointLink.js';
import type { EndpointLocation } from 'hickoryrelay-endpoint/Endpoint';
import type { Dispatcher } from 'undici';

const CONNECT_TIMEOUT_MILLISECONDS = 1000;

/**
 * Silence is judged by the exchange, on the project's clock, so the library's own time limits are
 * off. Pipelining of 1 means one call at a time on each connection.
 */
const CONNECTION_OPTIONS = {
  pipelining: 1,
  connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
  headersTimeout: 0,
  bodyTimeout: 0,
} as const;

/** One request in the form of HTTP. */
export interface EncodedCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | string | null;
}

/** Connections that are used, and condemned, together. */
interface ConnectionGroup {
  readonly pool: Pool;
  readonly answers: Set<HttpAnswer>;
}

/** A link that speaks HTTP/1.1, with one call at a time on each connection. */
export abstract class HttpEndpointLink extends EndpointLink {
  protected readonly place: EndpointLocation;

  private current: ConnectionGroup;

  /** The current group and condemned ones whose calls still run. */
  private readonly groups = new Set<ConnectionGroup>();

  constructor(place: EndpointLocation) {
    super();
    this.place = place;
    this.current = this.openGroup();
  }

  /** Encodes a call from its typed fields. */
  protected abstract encode(call: Call, resume: ResumePoint | undefined): EncodedCall;

  override send(call: Call, signal: AbortSignal, resume?: ResumePoint): AnswerStream {
    const encoded = this.encode(call, resume);
    return call.isIdempotent
      ? this.sendOnPool(call, encoded, signal)
      : this.sendOnFreshConnection(call, encoded, signal);
  }

  override async close(): Promise<void> {
    const groups = [...this.groups];
    this.groups.clear();
    await Promise.all(groups.map(({ pool }) => pool.destroy()));
  }

  private sendOnPool(call: Call, encoded: EncodedCall, signal: AbortSignal): AnswerStream {
    const group = this.current;
    const answer = new HttpAnswer(this.place.identifier, signal, {
      onEnd: (ended) => {
        group.answers.delete(ended);
        this.closeWhenIdle(group);
      },
      onSilence: () => this.condemn(group),
    });
    group.answers.add(answer);
    return HttpEndpointLink.dispatch(group.pool, call, encoded, answer);
  }

  /**
   * A connection kept alive may be lost without either end knowing, and then nobody can tell
   * whether a call on it ran. Calls that are not idempotent therefore get a connection of their
   * own.
   */
  private sendOnFreshConnection(
    call: Call,
    encoded: EncodedCall,
    signal: AbortSignal,
  ): AnswerStream {
    const client = new Client(this.place.url, CONNECTION_OPTIONS);
    const answer = new HttpAnswer(this.place.identifier, signal, {
      onEnd: () => {
        void client.destroy();
      },
      onSilence: () => this.condemn(this.current),
    });
    return HttpEndpointLink.dispatch(client, call, encoded, answer);
  }

  private static dispatch(
    dispatcher: Dispatcher,
    call: Call,
    { method, path, headers, body }: EncodedCall,
    answer: HttpAnswer,
  ): AnswerStream {
    dispatcher.dispatch(
      {
        method,
        path,
        headers: { ...headers, 'x-request-id': call.requestIdentifier },
        body,
      },
      answer,
    );
    return answer;
  }

  private openGroup(): ConnectionGroup {
    const pool = new Pool(this.place.url, { ...CONNECTION_OPTIONS, connections: null });
    const group = { pool, answers: new Set<HttpAnswer>() };
    this.groups.add(group);
    return group;
  }

  private condemn(group: ConnectionGroup): void {
    for (const answer of group.answers) {
      answer.isCondemned = true;
    }
    if (group === this.current) {
      this.current = this.openGroup();
      this.closeWhenIdle(group);
    }
  }

  private closeWhenIdle(group: ConnectionGroup): void {
    if (group !== this.current && group.answers.size === 0 && this.groups.delete(group)) {
      void group.pool.destroy();
    }
  }
}
