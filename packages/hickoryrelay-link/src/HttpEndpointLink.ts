import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { Pool } from 'undici';

import type { EndpointPlace } from 'hickoryrelay-endpoint/Endpoint';
import { EndpointLink } from './EndpointLink.js';

import type { AnswerStream } from './AnswerStream.js';
import type { Call } from './Call.js';

const CONNECT_TIMEOUT_MILLISECONDS = 1000;
const HEADERS_TIMEOUT_MILLISECONDS = 60_000;
const PROGRESS_TIMEOUT_MILLISECONDS = 15_000;

/** Error codes of `undici` and Node that can only occur before a request is written. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_CONNECT_TIMEOUT',
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
]);

/** One request in the form of HTTP. */
export interface EncodedCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | string | null;
}

function errorCode(error: unknown): string {
  return error instanceof Error && 'code' in error ? String(error.code) : '';
}

/** A link that speaks HTTP/1.1, with one call at a time on each connection. */
export abstract class HttpEndpointLink extends EndpointLink {
  protected readonly place: EndpointPlace;

  private readonly pool: Pool;

  constructor(place: EndpointPlace) {
    super();
    this.place = place;
    this.pool = new Pool(place.url, {
      pipelining: 1,
      connections: null,
      connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
      headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
      bodyTimeout: PROGRESS_TIMEOUT_MILLISECONDS,
    });
  }

  /** Encodes a call from its typed fields. */
  protected abstract encode(call: Call): EncodedCall;

  override async send(call: Call, signal: AbortSignal): Promise<AnswerStream> {
    const { method, path, headers, body } = this.encode(call);
    try {
      const response = await this.pool.request({
        method,
        path,
        headers: { ...headers, 'x-request-id': call.requestIdentifier },
        body,
        signal,
      });
      const contentType = response.headers['content-type'];
      return {
        status: response.statusCode,
        contentType: typeof contentType === 'string' ? contentType : 'application/octet-stream',
        pieces: this.pieces(response.body),
      };
    } catch (error) {
      throw this.failure(error, !NOT_SENT_CODES.has(errorCode(error)));
    }
  }

  override async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async *pieces(body: AsyncIterable<Buffer>): AsyncGenerator<Buffer, void, void> {
    try {
      yield* body;
    } catch (error) {
      throw this.failure(error, true);
    }
  }

  private failure(error: unknown, mayHaveRun: boolean): RelayError {
    const reason = error instanceof Error ? error.message : String(error);
    return new RelayError(
      {
        kind: FailureKind.EndpointFailed,
        endpoint: this.place.identifier,
        reason,
        mayHaveRun,
      },
      error,
    );
  }
}
