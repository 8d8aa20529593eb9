import { Agent, buildConnector, request } from 'undici';
import { SystemClock } from 'hickoryrelay/Clock';
import { ConnectionBreaks } from 'hickoryrelay/ConnectionBreaks';
import { FailureKind } from 'hickoryrelay/Failure';
import { paceReads } from 'hickoryrelay/PacedReads';
import { SystemRandomSource } from 'hickoryrelay/RandomSource';
import { ReadPriority } from 'hickoryrelay/ReadTurns';
import { RelayError } from 'hickoryrelay/RelayError';
import { readBodyText } from 'hickoryrelay/ResponseBodyUtils';

import {
  decodeKeyValue,
  decodeTransaction,
  encodeBase64,
  encodeTransaction,
  hasWritten,
  prefixRangeEnd,
  splitLines,
} from './EtcdCodec.js';
import { EtcdRestoreDetector, RevisionProof } from './EtcdRestoreDetector.js';
import { KeyValueStore } from './KeyValueStore.js';
import { StoreEra } from './StoreEra.js';
import { StoreRevision } from './StoreRevision.js';
import { comparesRevisions, refuseOtherEras } from './TransactionUtils.js';

import type {
  EtcdHeader,
  EtcdKeyValue,
  EtcdTransactionResponse,
  EtcdWatchResponse,
} from './EtcdCodec.js';
import type { ObservedRestore, ReceivedState } from './EtcdRestoreDetector.js';
import type {
  LeaseGrant,
  RangeResult,
  Transaction,
  TransactionResult,
  WatchBatch,
} from './KeyValueStore.js';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { Socket } from 'node:net';

const DEFAULT_TIMEOUT_MILLISECONDS = 2000;
const OK = 200;
const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const INTERNAL_SERVER_ERROR = 500;
const SERVICE = 'key-value service';

const LEASE_IDENTIFIER_BYTES = 8;
/** Lease identifiers are positive 64-bit integers. */
const LEASE_IDENTIFIER_BITS = 62;

/** Leases whose era is remembered. An instance holds about 30 at a time. */
const MAXIMUM_REMEMBERED_LEASES = 1024;

/** Largest response of a call and largest line of a watch. A range is not read in pages. */
const MAXIMUM_RESPONSE_BYTES = 33_554_432;

/** A connection is closed instead of reused if the error body of a rejected watch is longer. */
const MAX_ERROR_BODY_BYTES = 16_384;

/** Address of the etcd JSON gateway and the time limit of a call. */
export interface EtcdKeyValueStoreOptions {
  /** Base URLs. After a failed call, the next call uses the next URL. */
  readonly urls: readonly string[];
  readonly timeoutMilliseconds?: number;
  readonly random?: RandomSource;
}

/** A response whose header stands at the top or, in messages of a stream, in the result. */
interface StatedResponse extends Pick<EtcdTransactionResponse, 'responses'> {
  readonly header?: EtcdHeader;
  readonly result?: { readonly header?: EtcdHeader };
}

/** How a call is treated when it fails, and what its response proves. */
interface CallTraits {
  readonly isWrite: boolean;
  readonly proof: RevisionProof;
}

const RANGE: CallTraits = { isWrite: false, proof: RevisionProof.NotLower };
const LEASE_GRANT: CallTraits = { isWrite: true, proof: RevisionProof.NotLower };
const LEASE_RENEWAL: CallTraits = { isWrite: true, proof: RevisionProof.None };
const TRANSACTION: CallTraits = { isWrite: true, proof: RevisionProof.NotLower };

/** Returns a connector that prepares each connection before the client library uses it. */
function preparedConnector(prepare: (socket: Socket) => void): buildConnector.connector {
  const connect = buildConnector({});
  return (options, callback) => {
    connect(options, (...result) => {
      if (result[0] === null) {
        prepare(result[1]);
      }
      callback(...result);
    });
  };
}

/** Returns undefined for a body that is no JSON object, as one that its connection cut short. */
function parseObject(text: string): object | undefined {
  try {
    const body: unknown = JSON.parse(text);
    return typeof body === 'object' && body !== null && !Array.isArray(body) ? body : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Key-value store client for the etcd v3 JSON gateway. Its eras are counted by this client, see
 * `EtcdRestoreDetector`.
 */
export class EtcdKeyValueStore extends KeyValueStore {
  private readonly urls: readonly string[];

  private readonly timeoutMilliseconds: number;

  private readonly breaks = new ConnectionBreaks();

  private readonly agent = new Agent({
    pipelining: 1,
    connections: 8,
    connect: preparedConnector((socket) => this.breaks.observe(socket)),
  });

  /** Separate from `agent`, because watches stay open and would use up its connections. */
  private readonly watchAgent = new Agent({
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    // The library fails when a connection ends while its response is not read.
    connect: preparedConnector((socket) => paceReads(socket, { priority: ReadPriority.Control })),
  });

  override readonly era = new StoreEra(new SystemClock());

  private readonly detector = new EtcdRestoreDetector(this.era);

  private readonly random: RandomSource;

  /** The era in which each lease of this client was granted. */
  private readonly leaseEras = new Map<string, number>();

  private urlIndex = 0;

  constructor(options: EtcdKeyValueStoreOptions) {
    super();
    this.urls = options.urls;
    this.timeoutMilliseconds = options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS;
    this.random = options.random ?? new SystemRandomSource();
  }

  /** Calls the observer with each restore of the service. Returns the function that removes it. */
  onRestore(observer: (restore: ObservedRestore) => void): () => void {
    return this.detector.onRestore(observer);
  }

  override async range(key: string, options: { prefix?: boolean } = {}): Promise<RangeResult> {
    const body = {
      key: encodeBase64(key),
      ...(options.prefix === true ? { range_end: encodeBase64(prefixRangeEnd(key)) } : {}),
    };
    const { response, era } = await this.call<{ header?: EtcdHeader; kvs?: EtcdKeyValue[] }>(
      '/v3/kv/range',
      body,
      RANGE,
    );
    return {
      revision: new StoreRevision(era, Number(response.header?.revision ?? 0)),
      values: (response.kvs ?? []).map((pair) => decodeKeyValue(pair, era)),
    };
  }

  /**
   * Comparisons with a revision of an earlier era do not hold. If the service is restored while the
   * transaction is under way, equal numbers may be of different eras, so its outcome is unknown.
   */
  override async commit(transaction: Transaction): Promise<TransactionResult> {
    const requestEra = this.detector.received.era;
    const { response, era } = await this.call<EtcdTransactionResponse>(
      '/v3/kv/txn',
      encodeTransaction(refuseOtherEras(transaction, requestEra)),
      TRANSACTION,
    );
    if (era !== requestEra && comparesRevisions(transaction)) {
      throw this.restoredMeanwhile(true);
    }
    return decodeTransaction(response, era);
  }

  /**
   * Grants a lease with a random identifier, so that a restored service does not give the identifier of
   * a lease that it has lost to another client.
   */
  override async grantLease(timeToLiveSeconds: number): Promise<LeaseGrant> {
    const random = BigInt(`0x${this.random.identifier(LEASE_IDENTIFIER_BYTES)}`);
    const chosen = BigInt.asUintN(LEASE_IDENTIFIER_BITS, random) + 1n;
    const { response, era } = await this.call<{ header?: EtcdHeader; ID: string; TTL: string }>(
      '/v3/lease/grant',
      { TTL: String(timeToLiveSeconds), ID: String(chosen) },
      LEASE_GRANT,
    );
    this.rememberLease(response.ID, era);
    return { identifier: response.ID, timeToLiveSeconds: Number(response.TTL) };
  }

  override async keepLeaseAlive(identifier: string): Promise<number> {
    if (this.isOfEarlierEra(identifier)) {
      return 0;
    }
    const { response } = await this.call<{ result?: { header?: EtcdHeader; TTL?: string } }>(
      '/v3/lease/keepalive',
      { ID: identifier },
      LEASE_RENEWAL,
    );
    return this.isOfEarlierEra(identifier) ? 0 : Number(response.result?.TTL ?? 0);
  }

  override async revokeLease(identifier: string): Promise<void> {
    if (!this.isOfEarlierEra(identifier)) {
      const { status } = await this.send('/v3/lease/revoke', { ID: identifier }, true);
      if (status !== OK && status !== NOT_FOUND) {
        throw this.refused(status, true);
      }
    }
    this.leaseEras.delete(identifier);
  }

  override async *watch(
    prefix: string,
    fromRevision: StoreRevision,
    signal: AbortSignal,
  ): AsyncGenerator<WatchBatch, void, void> {
    const atRequest = this.detector.received;
    if (fromRevision.number > 0 && fromRevision.era !== atRequest.era) {
      throw this.restored();
    }
    const body = {
      create_request: {
        key: encodeBase64(prefix),
        range_end: encodeBase64(prefixRangeEnd(prefix)),
        start_revision: String(fromRevision.number),
      },
    };
    // A watch that is still open after a restore may wait for a revision that is far in the future.
    const abort = new AbortController();
    const endWatch = () => abort.abort();
    const unsubscribe = this.era.onRestore(endWatch);
    signal.addEventListener('abort', endWatch, { once: true });
    try {
      signal.throwIfAborted();
      const response = await this.open('/v3/watch', body, abort.signal, this.watchAgent);
      if (response.statusCode !== OK) {
        // undici keeps the connection and a listener on the signal until the body is consumed.
        await response.body.dump({
          limit: MAX_ERROR_BODY_BYTES,
          signal: AbortSignal.timeout(this.timeoutMilliseconds),
        });
        throw this.refused(response.statusCode, false);
      }
      for await (const line of splitLines(response.body, MAXIMUM_RESPONSE_BYTES)) {
        yield this.decodeWatchLine(line, atRequest);
      }
    } catch (error) {
      throw this.detector.received.era !== atRequest.era
        ? this.restored()
        : this.failure(error, false);
    } finally {
      unsubscribe();
      signal.removeEventListener('abort', endWatch);
    }
    throw this.unavailable('the service closed the watch stream', false);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([this.agent.destroy(), this.watchAgent.destroy()]);
  }

  private decodeWatchLine(line: string, atRequest: ReceivedState): WatchBatch {
    const { result } = JSON.parse(line) as EtcdWatchResponse;
    // The revision of a watch message is that of the member, which may be behind the others.
    const { era } = atRequest;
    if (this.detector.observe(result?.header, atRequest, RevisionProof.None) !== era) {
      throw this.restored();
    }
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
            key: decodeKeyValue(event.kv, era).key,
            modRevision: new StoreRevision(era, Number(event.kv.mod_revision ?? 0)),
          }
        : { type: 'put' as const, value: decodeKeyValue(event.kv, era) },
    );
    return {
      revision: new StoreRevision(era, Number(result?.header?.revision ?? 0)),
      events,
    };
  }

  /** Returns the response and its era. Throws if the service was restored meanwhile. */
  private async call<ResponseBody extends StatedResponse>(
    path: string,
    body: object,
    { isWrite, proof }: CallTraits,
  ): Promise<{ response: ResponseBody; era: number }> {
    const atRequest = this.detector.received;
    const { status, text } = await this.send(path, body, isWrite);
    if (status !== OK) {
      throw this.refused(status, isWrite);
    }
    const response = parseObject(text) as ResponseBody | undefined;
    if (response === undefined) {
      throw this.unavailable('the body of the response is incomplete', isWrite);
    }
    const header = response.header ?? response.result?.header;
    const era = this.detector.observe(
      header,
      atRequest,
      hasWritten(response) ? RevisionProof.Higher : proof,
    );
    if (era === undefined) {
      throw this.restoredMeanwhile(isWrite);
    }
    return { response, era };
  }

  private rememberLease(identifier: string, era: number): void {
    this.leaseEras.set(identifier, era);
    const [oldest] = this.leaseEras.keys();
    if (this.leaseEras.size > MAXIMUM_REMEMBERED_LEASES && oldest !== undefined) {
      this.leaseEras.delete(oldest);
    }
  }

  /** A restored service has lost all leases that it had granted. */
  private isOfEarlierEra(lease: string): boolean {
    const { era } = this.detector.received;
    return (this.leaseEras.get(lease) ?? era) !== era;
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
      if (this.breaks.isCurrent) {
        throw this.unavailable('the connection broke off', isWrite);
      }
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

  /** The error for a rejected call. Only a write rejected with 400 to 499 has not taken effect. */
  private refused(status: number, isWrite: boolean): RelayError {
    if (status >= INTERNAL_SERVER_ERROR) {
      this.urlIndex += 1;
    }
    const isRefusal = status >= BAD_REQUEST && status < INTERNAL_SERVER_ERROR;
    return this.unavailable(`status ${status}`, isWrite && !isRefusal);
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

  /** Ends a watch. Its reader has to read the current values and to start a new one. */
  private restored(): RelayError {
    return new RelayError({
      kind: FailureKind.ProtocolViolation,
      peer: SERVICE,
      reason: 'the service has been restored from an older copy',
    });
  }

  private restoredMeanwhile(mayHaveTakenEffect: boolean): RelayError {
    return this.unavailable('the service was restored during the call', mayHaveTakenEffect);
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
