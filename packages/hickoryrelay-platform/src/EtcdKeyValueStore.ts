import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { Agent, request } from 'undici';

import { KeyValueStore } from './KeyValueStore.js';
import {
  decodeKeyValue,
  decodeTransaction,
  encodeKey,
  encodeTransaction,
  rangeEnd,
  splitLines,
} from './EtcdCodec.js';

import type { EtcdKeyValue, EtcdTransactionAnswer, EtcdWatchLine } from './EtcdCodec.js';
import type {
  LeaseGrant,
  RangeResult,
  Transaction,
  TransactionResult,
  WatchBatch,
} from './KeyValueStore.js';

const DEFAULT_TIMEOUT_MILLISECONDS = 2000;

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
    await this.call('/v3/lease/revoke', { ID: identifier }, true);
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
    const response = await this.open('/v3/watch', body, signal, 0);
    for await (const line of splitLines(response.body)) {
      const { result } = JSON.parse(line) as EtcdWatchLine;
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
      yield { revision: Number(result?.header?.revision ?? 0), events };
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async call<Answer>(path: string, body: object, isWrite: boolean): Promise<Answer> {
    const signal = AbortSignal.timeout(this.timeoutMilliseconds);
    try {
      const response = await this.open(path, body, signal, this.timeoutMilliseconds);
      const text = await response.body.text();
      if (response.statusCode !== 200) {
        throw this.unavailable(`status ${response.statusCode}`, isWrite);
      }
      return JSON.parse(text) as Answer;
    } catch (error) {
      this.urlIndex += 1;
      if (error instanceof RelayError) {
        throw error;
      }
      const reason = error instanceof Error ? error.message : String(error);
      throw this.unavailable(reason, isWrite, error);
    }
  }

  private async open(path: string, body: object, signal: AbortSignal, timeout: number) {
    const base = this.urls[this.urlIndex % this.urls.length] ?? '';
    return request(`${base}${path}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      dispatcher: this.agent,
      signal,
      headersTimeout: timeout,
      bodyTimeout: timeout,
    });
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
