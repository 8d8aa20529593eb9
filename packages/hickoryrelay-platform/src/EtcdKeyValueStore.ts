import { Agent, request } from 'undici';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import {
  decodeKeyValue,
  decodeTransaction,
  encodeKey,
  encodeTransaction,
  rangeEnd,
  splitLines,
} from './EtcdCodec.js';
import { KeyValueStore } from './KeyValueStore.js';

import type { EtcdKeyValue, EtcdTransactionAnswer, EtcdWatchLine } from './EtcdCodec.js';
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
const INTERNAL_ERROR = 500;

/** A longer body of a refused watch is cut off with its connection. */
const MOST_REFUSAL_BYTES = 16_384;

/** Where the etcd JSON gateway is, and how long one call may take. */
export interface EtcdOptions {
  /** Base URLs, tried in order on the next call after one fails. */
  readonly urls: readonly string[];
  readonly timeoutMilliseconds?: number;
}

/** The key-value service by its published protocol, the etcd v3 JSON gateway. */
export class EtcdKeyValueStore extends KeyValueStore {
  private readonly urls: readonly string[];

  private readonly timeoutMilliseconds: number;

  private readonly agent = new Agent({ pipelining: 1, connections: 8 });

  /** Watches stay open, so they do not share the limited connections of calls. */
  private readonly watchAgent = new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });

  private urlIndex = 0;

  constructor(options: EtcdOptions) {
    super();
    this.urls = options.urls;
    this.timeoutMilliseconds = options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS;
  }

  override async range(key: string, options: { prefix?: boolean } = {}): Promise<RangeResult> {
    const body = {
      key: encodeKey(key),
      ...(options.prefix === true ? { range_end: encodeKey(rangeEnd(key)) } : {}),
    };
    const answer = await this.call<{ header?: { revision?: string }; kvs?: EtcdKeyValue[] }>(
      '/v3/kv/range',
      body,
      false,
    );
    return {
      revision: Number(answer.header?.revision ?? 0),
      values: (answer.kvs ?? []).map(decodeKeyValue),
    };
  }

  override async commit(transaction: Transaction): Promise<TransactionResult> {
    const answer = await this.call<EtcdTransactionAnswer>(
      '/v3/kv/txn',
      encodeTransaction(transaction),
      true,
    );
    return decodeTransaction(answer);
  }

  override async grantLease(timeToLiveSeconds: number): Promise<LeaseGrant> {
    const answer = await this.call<{ ID: string; TTL: string }>(
      '/v3/lease/grant',
      { TTL: String(timeToLiveSeconds), ID: '0' },
      true,
    );
    return { identifier: answer.ID, timeToLiveSeconds: Number(answer.TTL) };
  }

  override async keepLeaseAlive(identifier: string): Promise<number> {
    const answer = await this.call<{ result?: { TTL?: string } }>(
      '/v3/lease/keepalive',
      { ID: identifier },
      true,
    );
    return Number(answer.result?.TTL ?? 0);
  }

  override async revokeLease(identifier: string): Promise<void> {
    const { status } = await this.send('/v3/lease/revoke', { ID: identifier }, true);
    if (status !== OK && status !== NOT_FOUND) {
      throw this.refused(status, true);
    }
  }

  override async *watch(
    prefix: string,
    fromRevision: number,
    signal: AbortSignal,
  ): AsyncGenerator<WatchBatch, void, void> {
    const body = {
      create_request: {
        key: encodeKey(prefix),
        range_end: encodeKey(rangeEnd(prefix)),
        start_revision: String(fromRevision),
      },
    };
    try {
      const response = await this.open('/v3/watch', body, signal, this.watchAgent);
      if (response.statusCode !== OK) {
        // Until the body is read, the library keeps the connection and a listener on the signal.
        await response.body.dump({
          limit: MOST_REFUSAL_BYTES,
          signal: AbortSignal.timeout(this.timeoutMilliseconds),
        });
        throw this.refused(response.statusCode, false);
      }
      for await (const line of splitLines(response.body)) {
        yield this.decodeWatchLine(line);
      }
    } catch (error) {
      throw this.failure(error, false);
    }
    throw this.unavailable('the service closed the watch', false);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([this.agent.destroy(), this.watchAgent.destroy()]);
  }

  private decodeWatchLine(line: string): WatchBatch {
    const { result } = JSON.parse(line) as EtcdWatchLine;
    if (result?.compact_revision !== undefined) {
      throw new RelayError({
        kind: FailureKind.ProtocolViolation,
        peer: 'key-value service',
        reason: `changes before revision ${result.compact_revision} are no longer kept`,
      });
    }
    if (result?.canceled === true) {
      throw this.unavailable('the watch was cancelled by the service', false);
    }
    const events = (result?.events ?? []).map((event) =>
      event.type === 'DELETE'
        ? {
            type: 'delete' as const,
            key: decodeKeyValue(event.kv).key,
            modRevision: Number(event.kv.mod_revision ?? 0),
          }
        : { type: 'put' as const, value: decodeKeyValue(event.kv) },
    );
    return { revision: Number(result?.header?.revision ?? 0), events };
  }

  private async call<Answer>(path: string, body: object, isWrite: boolean): Promise<Answer> {
    const { status, text } = await this.send(path, body, isWrite);
    if (status !== OK) {
      throw this.refused(status, isWrite);
    }
    return JSON.parse(text) as Answer;
  }

  private async send(
    path: string,
    body: object,
    isWrite: boolean,
  ): Promise<{ status: number; text: string }> {
    try {
      const signal = AbortSignal.timeout(this.timeoutMilliseconds);
      const response = await this.open(path, body, signal, this.agent);
      return { status: response.statusCode, text: await response.body.text() };
    } catch (error) {
      this.urlIndex += 1;
      throw this.failure(error, isWrite);
    }
  }

  private async open(path: string, body: object, signal: AbortSignal, dispatcher: Agent) {
    const base = this.urls[this.urlIndex % this.urls.length] ?? '';
    return request(`${base}${path}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      dispatcher,
      signal,
    });
  }

  /** A status from 400 to 499 is an answer: the service applied nothing. */
  private refused(status: number, isWrite: boolean): RelayError {
    if (status >= INTERNAL_ERROR) {
      this.urlIndex += 1;
    }
    return this.unavailable(`status ${status}`, isWrite && status >= INTERNAL_ERROR);
  }

  private failure(error: unknown, isWrite: boolean): RelayError {
    if (error instanceof RelayError) {
      return error;
    }
    const isRefused = error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
    const reason = error instanceof Error ? error.message : String(error);
    return this.unavailable(reason, isWrite && !isRefused, error);
  }

  private unavailable(reason: string, mayHaveTakenEffect: boolean, cause?: unknown): RelayError {
    return new RelayError(
      {
        kind: FailureKind.PlatformUnavailable,
        service: 'key-value service',
        reason,
        mayHaveTakenEffect,
      },
      cause,
    );
  }
}
