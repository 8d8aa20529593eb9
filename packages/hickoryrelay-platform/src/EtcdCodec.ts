import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { StoreRevision } from './StoreRevision.js';

import type {
  Comparison,
  KeyValue,
  Operation,
  OperationResult,
  Transaction,
  TransactionResult,
} from './KeyValueStore.js';

/** The header of a response in etcd JSON. */
export interface EtcdHeader {
  readonly cluster_id?: string;
  readonly member_id?: string;
  readonly revision?: string;
  readonly raft_term?: string;
}

/** A key-value pair in etcd JSON: text in base64, integers as decimal strings. */
export interface EtcdKeyValue {
  readonly key: string;
  readonly value?: string;
  readonly create_revision?: string;
  readonly mod_revision?: string;
  readonly version?: string;
  readonly lease?: string;
}

/** The response to an operation in etcd JSON. */
export interface EtcdOperationResponse {
  readonly response_put?: object;
  readonly response_range?: { readonly kvs?: readonly EtcdKeyValue[] };
  readonly response_delete_range?: { readonly deleted?: string };
  readonly response_txn?: EtcdTransactionResponse;
}

/** The response to a transaction in etcd JSON. */
export interface EtcdTransactionResponse {
  readonly header?: EtcdHeader;
  readonly succeeded?: boolean;
  readonly responses?: readonly EtcdOperationResponse[];
}

/** A message of a watch stream in etcd JSON, sent as one line. */
export interface EtcdWatchResponse {
  readonly result?: {
    readonly header?: EtcdHeader;
    readonly created?: boolean;
    readonly canceled?: boolean;
    /** Present if the requested changes have been compacted. */
    readonly compact_revision?: string;
    readonly events?: readonly { readonly type?: string; readonly kv: EtcdKeyValue }[];
  };
}

export function encodeBase64(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

function decodeBase64(encoded: string | undefined): string {
  return Buffer.from(encoded ?? '', 'base64').toString('utf8');
}

/** Returns the end of the range of all keys with the prefix: the prefix with its last byte + 1. */
export function prefixRangeEnd(prefix: string): string {
  const last = prefix.charCodeAt(prefix.length - 1);
  return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}

/** Decodes a pair that was read in the given era. */
export function decodeKeyValue(raw: EtcdKeyValue, era: number): KeyValue {
  const hasLease = raw.lease !== undefined && raw.lease !== '0';
  return {
    key: decodeBase64(raw.key),
    value: decodeBase64(raw.value),
    createRevision: new StoreRevision(era, Number(raw.create_revision ?? 0)),
    modRevision: new StoreRevision(era, Number(raw.mod_revision ?? 0)),
    version: Number(raw.version ?? 0),
    ...(hasLease ? { lease: raw.lease } : {}),
  };
}

function encodeComparison(comparison: Comparison): object {
  const common = { key: encodeBase64(comparison.key), result: 'EQUAL' };
  switch (comparison.target) {
    case 'create-revision':
      return { ...common, target: 'CREATE', create_revision: String(comparison.operand.number) };
    case 'mod-revision':
      return { ...common, target: 'MOD', mod_revision: String(comparison.operand.number) };
    case 'version':
      return { ...common, target: 'VERSION', version: String(comparison.operand) };
    default:
      return { ...common, target: 'VALUE', value: encodeBase64(comparison.operand) };
  }
}

function encodeOperation(operation: Operation): object {
  switch (operation.type) {
    case 'put':
      return {
        request_put: {
          key: encodeBase64(operation.key),
          value: encodeBase64(operation.value),
          ...(operation.lease === undefined ? {} : { lease: operation.lease }),
        },
      };
    case 'transaction':
      return { request_txn: encodeTransaction(operation.transaction) };
    default: {
      const range = {
        key: encodeBase64(operation.key),
        ...(operation.prefix === true
          ? { range_end: encodeBase64(prefixRangeEnd(operation.key)) }
          : {}),
      };
      return operation.type === 'range'
        ? { request_range: range }
        : { request_delete_range: range };
    }
  }
}

export function encodeTransaction(transaction: Transaction): object {
  return {
    compare: transaction.compare.map(encodeComparison),
    success: transaction.success.map(encodeOperation),
    failure: transaction.failure.map(encodeOperation),
  };
}

function decodeOperation(raw: EtcdOperationResponse, era: number): OperationResult {
  if (raw.response_txn !== undefined) {
    return { type: 'transaction', result: decodeTransaction(raw.response_txn, era) };
  }
  if (raw.response_range !== undefined) {
    return {
      type: 'range',
      values: (raw.response_range.kvs ?? []).map((pair) => decodeKeyValue(pair, era)),
    };
  }
  if (raw.response_delete_range !== undefined) {
    return { type: 'delete', deleted: Number(raw.response_delete_range.deleted ?? 0) };
  }
  return { type: 'put' };
}

/** Returns whether the operations of a transaction have changed a key. */
export function hasWritten({ responses }: Pick<EtcdTransactionResponse, 'responses'>): boolean {
  return (responses ?? []).some(
    ({ response_put: put, response_delete_range: deletion, response_txn: nested }) =>
      put !== undefined ||
      Number(deletion?.deleted ?? 0) > 0 ||
      (nested !== undefined && hasWritten(nested)),
  );
}

/** Decodes the result of a transaction that was applied in the given era. */
export function decodeTransaction(raw: EtcdTransactionResponse, era: number): TransactionResult {
  return {
    succeeded: raw.succeeded === true,
    revision: new StoreRevision(era, Number(raw.header?.revision ?? 0)),
    results: (raw.responses ?? []).map((response) => decodeOperation(response, era)),
  };
}

/**
 * Splits a byte stream into lines. Throws `protocol-violation` if a line is longer than the limit,
 * in characters.
 */
export async function* splitLines(
  chunks: AsyncIterable<Buffer>,
  limitCharacters: number,
): AsyncGenerator<string, void, void> {
  /** Parts of the line that has not ended. They are joined once, at its end. */
  let parts: string[] = [];
  let length = 0;
  const decoder = new TextDecoder();
  for await (const chunk of chunks) {
    const text = decoder.decode(chunk, { stream: true });
    parts.push(text);
    length += text.length;
    if (text.includes('\n')) {
      const lines = parts.join('').split('\n');
      const remainder = lines.pop() ?? '';
      yield* lines.filter((line) => line !== '');
      parts = [remainder];
      ({ length } = remainder);
    }
    if (length > limitCharacters) {
      throw new RelayError({
        kind: FailureKind.ProtocolViolation,
        peer: 'key-value service',
        reason: `a line exceeds ${limitCharacters} characters`,
      });
    }
  }
}
