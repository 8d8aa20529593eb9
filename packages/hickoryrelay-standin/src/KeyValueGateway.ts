import { FailureKind } from 'hickoryrelay/Failure';
import { hasFailureKind } from 'hickoryrelay/RelayError';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

import { JsonServer } from './JsonServer.js';
import type { JsonResponse, ReceivedRequest } from './JsonServer.js';
import type { KeyValueTable } from './KeyValueTable.js';
import type {
  Comparison,
  KeyValue,
  Operation,
  OperationResult,
  Transaction,
  TransactionResult,
  WatchBatch,
  WatchEvent,
} from 'hickoryrelay-platform/KeyValueStore';
import type { ServerResponse } from 'node:http';

interface RawRange {
  readonly key: string;
  readonly range_end?: string;
}

interface RawOperation {
  readonly request_put?: { readonly key: string; readonly value?: string; readonly lease?: string };
  readonly request_range?: RawRange;
  readonly request_delete_range?: RawRange;
  readonly request_txn?: RawTransaction;
}

interface RawComparison {
  readonly key: string;
  readonly target: string;
  readonly create_revision?: string;
  readonly mod_revision?: string;
  readonly version?: string;
  readonly value?: string;
}

interface RawTransaction {
  readonly compare?: readonly RawComparison[];
  readonly success?: readonly RawOperation[];
  readonly failure?: readonly RawOperation[];
}

function decode(text: string | undefined): string {
  return Buffer.from(text ?? '', 'base64').toString('utf8');
}

function encode(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

/** Requests state no era, so only the number of a revision is compared. */
function decodeRevision(text: string | undefined): StoreRevision {
  return new StoreRevision(0, Number(text ?? 0));
}

function decodeComparison(raw: RawComparison): Comparison {
  const key = decode(raw.key);
  switch (raw.target) {
    case 'CREATE':
      return { key, target: 'create-revision', operand: decodeRevision(raw.create_revision) };
    case 'MOD':
      return { key, target: 'mod-revision', operand: decodeRevision(raw.mod_revision) };
    case 'VERSION':
      return { key, target: 'version', operand: Number(raw.version ?? 0) };
    default:
      return { key, target: 'value', operand: decode(raw.value) };
  }
}

function decodeOperation(raw: RawOperation): Operation {
  if (raw.request_put !== undefined) {
    const { key, value, lease } = raw.request_put;
    return {
      type: 'put',
      key: decode(key),
      value: decode(value),
      ...(lease === undefined || lease === '0' ? {} : { lease }),
    };
  }
  if (raw.request_txn !== undefined) {
    return { type: 'transaction', transaction: decodeTransaction(raw.request_txn) };
  }
  const range = raw.request_range ?? raw.request_delete_range;
  return {
    type: raw.request_range === undefined ? 'delete' : 'range',
    key: decode(range?.key),
    prefix: range?.range_end !== undefined,
  };
}

function decodeTransaction(raw: RawTransaction): Transaction {
  return {
    compare: (raw.compare ?? []).map(decodeComparison),
    success: (raw.success ?? []).map(decodeOperation),
    failure: (raw.failure ?? []).map(decodeOperation),
  };
}

function encodeKeyValue(value: KeyValue): object {
  return {
    key: encode(value.key),
    value: encode(value.value),
    create_revision: String(value.createRevision.number),
    mod_revision: String(value.modRevision.number),
    version: String(value.version),
    ...(value.lease === undefined ? {} : { lease: value.lease }),
  };
}

function encodeOperation(result: OperationResult): object {
  switch (result.type) {
    case 'put':
      return { response_put: {} };
    case 'delete':
      return { response_delete_range: { deleted: String(result.deleted) } };
    case 'range':
      return { response_range: { kvs: result.values.map(encodeKeyValue) } };
    default:
      return { response_txn: encodeTransaction(result.result) };
  }
}

function encodeTransaction(result: TransactionResult): object {
  return {
    succeeded: result.succeeded,
    responses: result.results.map(encodeOperation),
  };
}

function encodeEvent(event: WatchEvent): object {
  if (event.type === 'put') {
    return { type: 'PUT', kv: encodeKeyValue(event.value) };
  }
  return {
    type: 'DELETE',
    kv: { key: encode(event.key), mod_revision: String(event.modRevision.number) },
  };
}

function keyOf(event: WatchEvent): string {
  return event.type === 'put' ? event.value.key : event.key;
}

/** Stand-in for the key-value service: the etcd v3 JSON gateway, backed by an in-memory table. */
export class KeyValueGateway extends JsonServer {
  readonly table: KeyValueTable;

  /** If true, watches stay open but deliver no events. */
  silencesWatches = false;

  /** Number of open watches. */
  openWatches = 0;

  private writes = 0;

  private reads = 0;

  constructor(table: KeyValueTable) {
    super();
    this.table = table;
  }

  /** Number of calls received. A transaction counts as one write, a watch as one read. */
  get counts(): { reads: number; writes: number } {
    return { reads: this.reads, writes: this.writes };
  }

  override async close(): Promise<void> {
    this.table.close();
    await super.close();
  }

  protected override answer(request: ReceivedRequest): JsonResponse {
    const body = JSON.parse(request.text === '' ? '{}' : request.text) as Record<string, string>;
    switch (request.path) {
      case '/v3/kv/range':
        return this.answerRange(body as unknown as RawRange);
      case '/v3/kv/txn':
        this.writes += 1;
        return this.answerTransaction(body);
      case '/v3/lease/grant':
        this.writes += 1;
        return this.answerGrant(body);
      case '/v3/lease/keepalive': {
        this.writes += 1;
        const seconds = this.table.keepLeaseAlive(String(body.ID));
        const result = { header: this.header(), ID: body.ID, TTL: String(seconds) };
        return { status: 200, body: { result } };
      }
      case '/v3/lease/revoke':
        this.writes += 1;
        this.table.revokeLease(String(body.ID));
        return { status: 200, body: { header: this.header() } };
      default:
        return { status: 404, body: { code: 5, message: 'Not Found' } };
    }
  }

  protected override async handleStream(
    request: ReceivedRequest,
    response: ServerResponse,
  ): Promise<boolean> {
    if (request.path !== '/v3/watch') {
      return false;
    }
    this.reads += 1;
    const body = JSON.parse(request.text) as {
      create_request: { key: string; start_revision?: string };
    };
    const prefix = decode(body.create_request.key);
    const start = Number(body.create_request.start_revision ?? 0);
    this.openWatches += 1;
    response.writeHead(200, { 'content-type': 'application/json' });
    response.write(`${JSON.stringify({ result: { header: this.header(), created: true } })}\n`);
    const send = (batch: WatchBatch) => {
      // A watch from a future revision delivers nothing until the service reaches it.
      if (batch.revision.number >= start) {
        this.sendBatch(response, prefix, batch);
      }
    };
    if (start > 0) {
      this.table.changesSince(new StoreRevision(0, start)).forEach(send);
    }
    const unsubscribe = this.table.subscribe(send);
    const unsubscribeRestore = this.table.onRestore(() => response.destroy());
    response.once('close', () => {
      this.openWatches -= 1;
      unsubscribe();
      unsubscribeRestore();
    });
    return true;
  }

  private sendBatch(response: ServerResponse, prefix: string, batch: WatchBatch): void {
    const events = batch.events.filter((event) => keyOf(event).startsWith(prefix));
    if (events.length === 0 || this.silencesWatches) {
      return;
    }
    const result = {
      header: this.header(batch.revision),
      events: events.map(encodeEvent),
    };
    response.write(`${JSON.stringify({ result })}\n`);
  }

  /** The header of a response, which identifies the cluster, the member and the moment. */
  private header(revision = this.table.currentRevision): object {
    return {
      cluster_id: this.table.clusterIdentifier,
      member_id: this.table.memberIdentifier,
      revision: String(revision.number),
      raft_term: String(this.table.raftTerm),
    };
  }

  private answerGrant(body: Record<string, string>): JsonResponse {
    const isChosen = body.ID !== undefined && body.ID !== '0';
    return this.answerUnlessInvalid(() => {
      const grant = this.table.grantLease(Number(body.TTL), isChosen ? body.ID : undefined);
      const { identifier, timeToLiveSeconds } = grant;
      return { header: this.header(), ID: identifier, TTL: String(timeToLiveSeconds) };
    });
  }

  private answerTransaction(body: RawTransaction): JsonResponse {
    return this.answerUnlessInvalid(() => {
      const result = this.table.commit(decodeTransaction(body));
      return { header: this.header(result.revision), ...encodeTransaction(result) };
    });
  }

  private answerUnlessInvalid(createBody: () => object): JsonResponse {
    try {
      return { status: 200, body: createBody() };
    } catch (error) {
      if (hasFailureKind(error, FailureKind.InvalidRequest)) {
        return { status: 400, body: { code: 3, message: String(error) } };
      }
      throw error;
    }
  }

  private answerRange(body: RawRange): JsonResponse {
    this.reads += 1;
    const { revision, values } = this.table.range(decode(body.key), body.range_end !== undefined);
    return {
      status: 200,
      body: {
        header: this.header(revision),
        kvs: values.map(encodeKeyValue),
        count: String(values.length),
      },
    };
  }
}
