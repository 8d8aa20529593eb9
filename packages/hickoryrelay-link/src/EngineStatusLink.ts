import { request } from 'undici';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { decodeCacheChanges, decodeCacheSnapshot } from 'hickoryrelay-endpoint/CacheEvents';
import { decodeLoadReport } from 'hickoryrelay-endpoint/EngineLoad';

import type { Clock } from 'hickoryrelay/Clock';
import type { EndpointLocation } from 'hickoryrelay-endpoint/Endpoint';
import type { LoadReport } from 'hickoryrelay-endpoint/EngineLoad';
import type { CacheChanges, CacheSnapshot } from 'hickoryrelay-endpoint/PrefixIndex';

const TIMEOUT_MILLISECONDS = 1000;

const OK = 200;
const NOT_FOUND = 404;

/** Longer answers are cut off; a whole snapshot of `MOST_SNAPSHOT_KEYS` keys has about 15 KB. */
export const LONGEST_ANSWER_BYTES = 32_768;

/** Request line and headers of a read and of its answer. */
export const READ_OVERHEAD_BYTES = 300;

/** A key and its event have 15 bytes in a run, and at most 66 alone. */
export const MOST_EVENTS = 256;

export const MOST_SNAPSHOT_KEYS = 1024;

interface StatusAnswer {
  readonly status: number;
  readonly text: string;
}

/** Reads what one engine tells of itself: its load and the changes of its prefix cache. */
export class EngineStatusLink {
  private readonly place: EndpointLocation;

  private readonly clock: Clock;

  private bytes = 0;

  constructor(place: EndpointLocation, clock: Clock) {
    this.place = place;
    this.clock = clock;
  }

  /** Bytes of all reads so far, headers included. */
  get exchangedBytes(): number {
    return this.bytes;
  }

  /** Returns undefined if the engine does not offer load reports. */
  async readLoad(signal: AbortSignal): Promise<LoadReport | undefined> {
    const asked = this.clock.monotonicMilliseconds();
    const { status, text } = await this.read('/load', signal);
    return status === OK ? this.decode(text, (body) => decodeLoadReport(body, asked)) : undefined;
  }

  /** Returns undefined if the engine does not publish cache events. */
  async readCacheChanges(after: number, signal: AbortSignal): Promise<CacheChanges | undefined> {
    const path = `/cache_events?after=${after}&limit=${MOST_EVENTS}`;
    return this.readOffered(path, decodeCacheChanges, signal);
  }

  /** Returns undefined if the engine does not publish cache events. */
  async readCacheSnapshot(signal: AbortSignal): Promise<CacheSnapshot | undefined> {
    const path = `/cache_events?limit=${MOST_SNAPSHOT_KEYS}`;
    return this.readOffered(path, decodeCacheSnapshot, signal);
  }

  private async readOffered<Value>(
    path: string,
    decode: (body: unknown) => Value,
    signal: AbortSignal,
  ): Promise<Value | undefined> {
    const { status, text } = await this.read(path, signal);
    if (status === NOT_FOUND) {
      return undefined;
    }
    if (status !== OK) {
      throw this.failed(`status ${status}`);
    }
    return this.decode(text, decode);
  }

  private decode<Value>(text: string, decode: (body: unknown) => Value): Value {
    try {
      return decode(JSON.parse(text));
    } catch (error) {
      throw this.violation('the answer is malformed', error);
    }
  }

  /** The time limit runs on the clock of the instance, from the request to the end of the answer. */
  private async read(path: string, signal: AbortSignal): Promise<StatusAnswer> {
    const limit = new AbortController();
    const cancelLimit = this.clock.schedule(TIMEOUT_MILLISECONDS, () => {
      limit.abort(new Error(`no whole answer within ${TIMEOUT_MILLISECONDS} ms`));
    });
    this.bytes += READ_OVERHEAD_BYTES;
    try {
      const response = await request(`${this.place.url}${path}`, {
        // A signal of its own for each request: the client leaves its listeners behind.
        signal: AbortSignal.any([signal, limit.signal]),
      });
      const chunks: Buffer[] = [];
      let length = 0;
      for await (const chunk of response.body as AsyncIterable<Buffer>) {
        length += chunk.length;
        this.bytes += chunk.length;
        if (length > LONGEST_ANSWER_BYTES) {
          throw this.violation(`the answer exceeds ${LONGEST_ANSWER_BYTES} bytes`);
        }
        chunks.push(chunk);
      }
      return { status: response.statusCode, text: Buffer.concat(chunks).toString('utf8') };
    } catch (error) {
      throw error instanceof RelayError ? error : this.failed(error);
    } finally {
      cancelLimit();
    }
  }

  private failed(cause: unknown): RelayError {
    const reason = cause instanceof Error ? cause.message : String(cause);
    return new RelayError(
      {
        kind: FailureKind.EndpointFailed,
        endpoint: this.place.identifier,
        reason,
        mayHaveRun: false,
      },
      cause,
    );
  }

  private violation(reason: string, cause?: unknown): RelayError {
    return new RelayError(
      { kind: FailureKind.ProtocolViolation, peer: this.place.identifier, reason },
      cause,
    );
  }
}
