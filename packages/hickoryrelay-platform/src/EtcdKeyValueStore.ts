import { Agent, request } from 'undici';
import { SystemClock } from 'hickoryrelay/Clock';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { readBodyText } from 'hickoryrelay/ResponseBodyUtils';

import {
  decodeKeyValue,
  decodeTransaction,
  encodeBase64,
  encodeTransaction,
  prefixRangeEnd,
  splitLines,
} from './EtcdCodec.js';
import { KeyValueStore } from './KeyValueStore.js';
import { StoreEra } from './StoreEra.js';
import { StoreRevision } from './StoreRevision.js';

import type { EtcdKeyValue, EtcdTransactionResponse, EtcdWatchResponse } from './EtcdCodec.js';
import type {
  LeaseGrant,
  RangeResult,
  Transaction,
  TransactionResult,
  WatchBatch,
} from './KeyValueStore.js';

const DEFAULT_TIMEOUT_MILLISECONDS = 2000;
const OK = 200;
const NOT_FOUND = 404;
const INTERNAL_SERVER_ERROR = 500;
const SERVICE = 'key-value service';

/** The gateway does not state an era. */
const FIRST_ERA = 0;

/** Largest response of a call and largest line of a watch. A range is not read in pages. */
const MAXIMUM_RESPONSE_BYTES = 33_554_432;

/** A connection is closed instead of reused if the error body of a rejected watch is longer. */
const MAX_ERROR_BODY_BYTES = 16_384;

/** Address of the etcd JSON gateway and the time limit of a call. */
export interface EtcdKeyValueStoreOptions {
  /** Base URLs. After a failed call, the next call uses the next URL. */
  readonly urls: readonly string[];
  readonly timeoutMilliseconds?: number;
}

/** Key-value store client for the etcd v3 JSON gateway. */
export class EtcdKeyValueStore extends KeyValueStore {
  private readonly urls: readonly string[];

  private readonly timeoutMilliseconds: number;

  private readonly agent = new Agent({ pipelining: 1, connections: 8 });

  /** Separate from `agent`, because watches stay open and would use up its connections. */
  private readonly watchAgent = new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });

  override readonly era = new StoreEra(new SystemClock());

  private urlIndex = 0;

  constructor(options: EtcdKeyValueStoreOptions) {
    super();
    this.urls = options.urls;
    this.timeoutMilliseconds = options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS;
  }

  override async range(key: string, options: { prefix?: boolean } = {}): Promise<RangeResult> {
    const body = {
      key: encodeBase64(key),
      ...(options.prefix === true ? { range_end: encodeBase64(prefixRangeEnd(key)) } : {}),
    };
    const response = await this.call<{ header?: { revision?: string }; kvs?: EtcdKeyValue[] }>(
      '/v3/kv/range',
      body,
      false,
    );
    return {
      revision: new StoreRevision(FIRST_ERA, Number(response.header?.revision ?? 0)),
      values: (response.kvs ?? []).map((pair) => decodeKeyValue(pair, FIRST_ERA)),
    };
  }

  override async commit(transaction: Transaction): Promise<TransactionResult> {
    const response = await this.call<EtcdTransactionResponse>(
      '/v3/kv/txn',
      encodeTransaction(transaction),
      true,
    );
    return decodeTransaction(response, FIRST_ERA);
  }

  override async grantLease(timeToLiveSeconds: number): Promise<LeaseGrant> {
    const response = await this.call<{ ID: string; TTL: string }>(
      '/v3/lease/grant',
      { TTL: String(timeToLiveSeconds), ID: '0' },
      true,
    );
    return { identifier: response.ID, timeToLiveSeconds: Number(response.TTL) };
  }

  override async keepLeaseAlive(identifier: string): Promise<number> {
    const response = await this.call<{ result?: { TTL?: string } }>(
      '/v3/lease/keepalive',
      { ID: identifier },
      true,
    );
    return Number(response.result?.TTL ?? 0);
  }

  override async revokeLease(identifier: string): Promise<void> {
    const { status } = await this.send('/v3/lease/revoke', { ID: identifier }, true);
    if (status !== OK && status !== NOT_FOUND) {
      throw this.refused(status, true);
    }
  }

  override async *watch(
    prefix: string,
    fromRevision: StoreRevision,
    signal: AbortSignal,
  ): AsyncGenerator<WatchBatch, void, void> {
    const body = {
      create_request: {
        key: encodeBase64(prefix),
        range_end: encodeBase64(prefixRangeEnd(prefix)),
        start_revision: String(fromRevision.number),
      },
    };
    try {
      const response = await this.open('/v3/watch', body, signal, this.watchAgent);
      if (response.statusCode !== OK) {
        // undici keeps the connection and a listener on the signal until the body is consumed.
        await response.body.dump({
          limit: MAX_ERROR_BODY_BYTES,
          signal: AbortSignal.timeout(this.timeoutMilliseconds),
        });
        throw this.refused(response.statusCode, false);
      }
      for await (const line of splitLines(response.body, MAXIMUM_RESPONSE_BYTES)) {
        yield this.decodeWatchLine(line);
      }
    } catch (error) {
      throw this.failure(error, false);
    }
    throw this.unavailable('the service closed the watch stream', false);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([this.agent.destroy(), this.watchAgent.destroy()]);
  }

  private decodeWatchLine(line: string): WatchBatch {
    const { result } = JSON.parse(line) as EtcdWatchResponse;
    if (result?.compact_revision !== undefined) {
      throw new RelayError({
        kind: FailureKind.ProtocolViolation,
        peer: SERVICE,
        reason: `changes before revision ${result.compact_revision} have been compacted`,
      });
    }
    if (result?.canceled === true) {
      throw this.unavailable('the service cancelled the watch', false);
    }
    const events = (result?.events ?? []).map((event) =>
      event.type === 'DELETE'
        ? {
            type: 'delete' as const,
            key: decodeKeyValue(event.kv, FIRST_ERA).key,
            modRevision: new StoreRevision(FIRST_ERA, Number(event.kv.mod_revision ?? 0)),
          }
        : { type: 'put' as const, value: decodeKeyValue(event.kv, FIRST_ERA) },
    );
    return {
      revision: new StoreRevision(FIRST_ERA, Number(result?.header?.revision ?? 0)),
      events,
    };
  }

  private async call<ResponseBody>(
    path: string,
    body: object,
    isWrite: boolean,
  ): Promise<ResponseBody> {
    const { status, text } = await this.send(path, body, isWrite);
    if (status !== OK) {
      throw this.refused(status, isWrite);
    }
    return JSON.parse(text) as ResponseBody;
  }

  private async send(
    path: string,
    body: object,
    isWrite: boolean,
  ): Promise<{ status: number; text: string }> {
    try {
      const signal = AbortSignal.timeout(this.timeoutMilliseconds);
      const response = await this.open(path, body, signal, this.agent);
      const text = await readBodyText(response.body, MAXIMUM_RESPONSE_BYTES, SERVICE);
      return { status: response.statusCode, text };
    } catch (error) {
      this.urlIndex += 1;
      throw this.failure(error, isWrite);
    }
  }

  private async open(path: string, body: object, signal: AbortSignal, dispatcher: Agent) {
    const baseUrl = this.urls[this.urlIndex % this.urls.length] ?? '';
    return request(`${baseUrl}${path}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      dispatcher,
      signal,
    });
  }

  /** The error for a rejected call. A write rejected with 400 to 499 has not taken effect. */
  private refused(status: number, isWrite: boolean): RelayError {
    if (status >= INTERNAL_SERVER_ERROR) {
      this.urlIndex += 1;
    }
    return this.unavailable(`status ${status}`, isWrite && status >= INTERNAL_SERVER_ERROR);
  }

  private failure(error: unknown, isWrite: boolean): RelayError {
    if (error instanceof RelayError) {
      return error;
    }
    const isConnectionRefused =
      error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
    const reason = error instanceof Error ? error.message : String(error);
    return this.unavailable(reason, isWrite && !isConnectionRefused, error);
  }

  private unavailable(reason: string, mayHaveTakenEffect: boolean, cause?: unknown): RelayError {
    return new RelayError(
      {
        kind: FailureKind.PlatformUnavailable,
        service: SERVICE,
        reason,
        mayHaveTakenEffect,
      },
      cause,
    );
  }
}
