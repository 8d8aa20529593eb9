import { request } from 'undici';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { readBodyText } from 'hickoryrelay/ResponseBodyUtils';
import { isFinalStatus } from 'hickoryrelay/StatusUtils';
import { decodeCacheChanges, decodeCacheSnapshot } from 'hickoryrelay-endpoint/CacheEvents';
import { decodeLoadReport } from 'hickoryrelay-endpoint/EngineLoad';

import type { Clock } from 'hickoryrelay/Clock';
import type { EndpointLocation } from 'hickoryrelay-endpoint/Endpoint';
import type { LoadReport } from 'hickoryrelay-endpoint/EngineLoad';
import type { CacheChanges, CacheSnapshot } from 'hickoryrelay-endpoint/PrefixIndex';

const RESPONSE_TIMEOUT_MILLISECONDS = 1000;

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

/** Longer responses fail; a snapshot of `MAXIMUM_SNAPSHOT_KEYS` keys has about 15 KB. */
export const MAXIMUM_RESPONSE_BYTES = 32_768;

/** Size of the request line and of the headers of a request and its response. */
export const REQUEST_OVERHEAD_BYTES = 300;

/** A key and its event take 15 bytes in a run of events, and at most 66 bytes alone. */
export const MAXIMUM_EVENTS = 256;

export const MAXIMUM_SNAPSHOT_KEYS = 1024;

interface StatusResponse {
  readonly status: number;
  readonly text: string;
}

/** Reads the load of an engine and the changes of its prefix cache. */
export class EngineStatusLink {
  private readonly location: EndpointLocation;

  private readonly clock: Clock;

  private bytes = 0;

  constructor(location: EndpointLocation, clock: Clock) {
    this.location = location;
    this.clock = clock;
  }

  /** Bytes of all requests and responses so far, including headers. */
  get exchangedBytes(): number {
    return this.bytes;
  }

  /** Returns undefined if the engine does not provide load reports. */
  async readLoad(signal: AbortSignal): Promise<LoadReport | undefined> {
    const requestedMilliseconds = this.clock.monotonicMilliseconds();
    const { status, text } = await this.read('/load', signal);
    return status === HTTP_OK
      ? this.decode(text, (body) => decodeLoadReport(body, requestedMilliseconds))
      : undefined;
  }

  /** Returns undefined if the engine does not publish cache events. */
  async readCacheChanges(after: number, signal: AbortSignal): Promise<CacheChanges | undefined> {
    const path = `/cache_events?after=${after}&limit=${MAXIMUM_EVENTS}`;
    return this.readIfSupported(path, decodeCacheChanges, signal);
  }

  /** Returns undefined if the engine does not publish cache events. */
  async readCacheSnapshot(signal: AbortSignal): Promise<CacheSnapshot | undefined> {
    const path = `/cache_events?limit=${MAXIMUM_SNAPSHOT_KEYS}`;
    return this.readIfSupported(path, decodeCacheSnapshot, signal);
  }

  private async readIfSupported<Value>(
    path: string,
    decode: (body: unknown) => Value,
    signal: AbortSignal,
  ): Promise<Value | undefined> {
    const { status, text } = await this.read(path, signal);
    if (status === HTTP_NOT_FOUND) {
      return undefined;
    }
    if (status !== HTTP_OK) {
      throw this.failed(`status ${status}`);
    }
    return this.decode(text, decode);
  }

  private decode<Value>(text: string, decode: (body: unknown) => Value): Value {
    try {
      return decode(JSON.parse(text));
    } catch (error) {
      throw this.violation('the response is malformed', error);
    }
  }

  /** The timeout uses the instance's clock and covers the request and the whole response. */
  private async read(path: string, signal: AbortSignal): Promise<StatusResponse> {
    const timeout = new AbortController();
    const cancelTimeout = this.clock.schedule(RESPONSE_TIMEOUT_MILLISECONDS, () => {
      timeout.abort(new Error(`no complete response within ${RESPONSE_TIMEOUT_MILLISECONDS} ms`));
    });
    this.bytes += REQUEST_OVERHEAD_BYTES;
    try {
      const response = await request(`${this.location.url}${path}`, {
        // The client does not remove its abort listeners, so each request gets its own signal.
        signal: AbortSignal.any([signal, timeout.signal]),
      });
      const peer = this.location.identifier;
      const body = this.countBytes(response.body as AsyncIterable<Buffer>);
      const text = await readBodyText(body, MAXIMUM_RESPONSE_BYTES, peer);
      if (!isFinalStatus(response.statusCode)) {
        throw this.failed(`status ${response.statusCode}`);
      }
      return { status: response.statusCode, text };
    } catch (error) {
      throw error instanceof RelayError ? error : this.failed(error);
    } finally {
      cancelTimeout();
    }
  }

  private async *countBytes(body: AsyncIterable<Buffer>): AsyncGenerator<Buffer, void, void> {
    for await (const chunk of body) {
      this.bytes += chunk.length;
      yield chunk;
    }
  }

  private failed(cause: unknown): RelayError {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return new RelayError(
      {
        kind: FailureKind.EndpointFailed,
        endpoint: this.location.identifier,
        reason,
        mayHaveRun: false,
      },
      cause,
    );
  }

  private violation(reason: string, cause?: unknown): RelayError {
    return new RelayError(
      { kind: FailureKind.ProtocolViolation, peer: this.location.identifier, reason },
      cause,
    );
  }
}
