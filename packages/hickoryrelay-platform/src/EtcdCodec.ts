import type {
  Comparison,
  KeyValue,
  Operation,
  OperationResult,
  Transaction,
  TransactionResult,
} from './KeyValueStore.js';

/** A key-value pair in the JSON form of etcd: base64 texts and decimal strings. */
export interface EtcdKeyValue {
  readonly key: string;
  readonly value?: string;
  readonly create_revision?: string;
  readonly mod_revision?: string;
  readonly version?: string;
  readonly lease?: string;
}

/** One operation's answer in the JSON form of etcd. */
export interface EtcdOperationAnswer {
  readonly response_put?: object;
  readonly response_range?: { readonly kvs?: readonly EtcdKeyValue[] };
  readonly response_delete_range?: { readonly deleted?: string };
  readonly response_txn?: EtcdTransactionAnswer;
}

/** A transaction's answer in the JSON form of etcd. */
export interface EtcdTransactionAnswer {
  readonly header?: { readonly revision?: string };
  readonly succeeded?: boolean;
  readonly responses?: readonly EtcdOperationAnswer[];
}

/** One line of a watch in the JSON form of etcd. */
export interface EtcdWatchLine {
  readonly result?: {
    readonly header?: { readonly revision?: string };
    readonly created?: boolean;
    readonly canceled?: boolean;
    /** Present if the watch asked for changes that have been compacted. */
    readonly compact_revision?: string;
    readonly events?: readonly { readonly type?: string; readonly kv: EtcdKeyValue }[];
  };
}

export function encodeKey(key: string): string {
  return Buffer.from(key, 'utf8').toString('base64');
}

function decodeText(text: string | undefined): string {
  return Buffer.from(text ?? '', 'base64').toString('utf8');
}

/** The end of the range of all keys with the prefix: the prefix with its last byte raised. */
export function rangeEnd(prefix: string): string {
  const last = prefix.charCodeAt(prefix.length - 1);
  return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}

export function decodeKeyValue(raw: EtcdKeyValue): KeyValue {
  const hasLease = raw.lease !== undefined && raw.lease !== '0';
  return {
    key: decodeText(raw.key),
    value: decodeText(raw.value),
    createRevision: Number(raw.create_revision ?? 0),
    modRevision: Number(raw.mod_revision ?? 0),
    version: Number(raw.version ?? 0),
    ...(hasLease ? { lease: raw.lease } : {}),
  };
}

function encodeComparison(comparison: Comparison): object {
  const common = { key: encodeKey(comparison.key), result: 'EQUAL' };
  switch (comparison.target) {
    case 'create-revision':
      return { ...common, target: 'CREATE', create_revision: String(comparison.operand) };
    case 'mod-revision':
      return { ...common, target: 'MOD', mod_revision: String(comparison.operand) };
    case 'version':
      return { ...common, target: 'VERSION', version: String(comparison.operand) };
    default:
      return { ...common, target: 'VALUE', value: encodeKey(comparison.operand) };
  }
}

function encodeOperation(operation: Operation): object {
  switch (operation.type) {
    case 'put':
      return {
        request_put: {
          key: encodeKey(operation.key),
          value: encodeKey(operation.value),
          ...(operation.lease === undefined ? {} : { lease: operation.lease }),
        },
      };
    case 'transaction':
      return { request_txn: encodeTransaction(operation.transaction) };
    default: {
      const range = {
        key: encodeKey(operation.key),
        ...(operation.prefix === true ? { range_end: encodeKey(rangeEnd(operation.key)) } : {}),
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

function decodeOperation(raw: EtcdOperationAnswer): OperationResult {
  if (raw.response_txn !== undefined) {
    return { type: 'transaction', result: decodeTransaction(raw.response_txn) };
  }
  if (raw.response_range !== undefined) {
    return { type: 'range', values: (raw.response_range.kvs ?? []).map(decodeKeyValue) };
  }
  if (raw.response_delete_range !== undefined) {
    return { type: 'delete', deleted: Number(raw.response_delete_range.deleted ?? 0) };
  }
  return { type: 'put' };
}

export function decodeTransaction(raw: EtcdTransactionAnswer): TransactionResult {
  return {
    succeeded: raw.succeeded === true,
    revision: Number(raw.header?.revision ?? 0),
    results: (raw.responses ?? []).map(decodeOperation),
  };
}

/** Splits a byte stream into lines. */
export async function* splitLines(
  chunks: AsyncIterable<Buffer>,
): AsyncGenerator<string, void, void> {
  let rest = '';
  const decoder = new TextDecoder();
  for await (const chunk of chunks) {
    const lines = (rest + decoder.decode(chunk, { stream: true })).split('\n');
    rest = lines.pop() ?? '';
    yield* lines.filter((line) => line !== '');
  }
}
