import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { splitLines } from 'hickoryrelay-platform/EtcdCodec';

import { KeyValueGateway } from '../../KeyValueGateway.js';
import { KeyValueTable } from '../../KeyValueTable.js';

interface Header {
  readonly cluster_id: string;
  readonly member_id: string;
  readonly revision: string;
  readonly raft_term: string;
}

interface GatewayResponse {
  readonly header: Header;
  readonly result: { readonly header: Header; readonly TTL?: string };
  readonly ID: string;
  readonly kvs: readonly { readonly key: string }[];
}

function encode(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

describe('KeyValueGateway that is restored from a copy', () => {
  let gateway: KeyValueGateway;

  beforeEach(async () => {
    gateway = new KeyValueGateway(new KeyValueTable(new ManualClock()));
    await gateway.listen();
  });

  afterEach(() => gateway.close());

  async function post(path: string, body: object): Promise<GatewayResponse> {
    const response = await fetch(`${gateway.url}${path}`, {
      method: 'POST',
      body: JSON.stringify(body),
    });
    return (await response.json()) as GatewayResponse;
  }

  function put(key: string, lease = '0'): Promise<GatewayResponse> {
    const request = { key: encode(key), value: encode('value'), lease };
    return post('/v3/kv/txn', { success: [{ request_put: request }] });
  }

  async function storedKeys(): Promise<string[]> {
    const { kvs } = await post('/v3/kv/range', { key: encode('/'), range_end: encode('0') });
    return kvs.map(({ key }) => Buffer.from(key, 'base64').toString('utf8'));
  }

  async function openWatch(startRevision: number) {
    const response = await fetch(`${gateway.url}/v3/watch`, {
      method: 'POST',
      body: JSON.stringify({
        create_request: { key: encode('/'), start_revision: String(startRevision) },
      }),
    });
    const lines = splitLines(response.body as unknown as AsyncIterable<Buffer>, 10_000);
    const next = async () => JSON.parse(String((await lines.next()).value)) as GatewayResponse;
    return { next, created: await next(), close: () => lines.return() };
  }

  // Guards against clients that cannot recognize a restored service by what etcd publishes.
  it('states cluster, member, term and revision in each response', async () => {
    const granted = await post('/v3/lease/grant', { TTL: '10', ID: '0' });
    const written = await put('/key');
    const kept = await post('/v3/lease/keepalive', { ID: granted.ID });
    const revoked = await post('/v3/lease/revoke', { ID: granted.ID });
    const read = await post('/v3/kv/range', { key: encode('/key') });
    const { created, next, close } = await openWatch(1);
    const changed = await next();
    await close();
    const headers = [
      granted.header,
      written.header,
      kept.result.header,
      revoked.header,
      read.header,
      created.result.header,
      changed.result.header,
    ];
    const expected = { cluster_id: '14841639', member_id: '114841639', raft_term: '2' };
    expect(headers.map(({ revision }) => revision)).toEqual(['1', '2', '2', '2', '2', '2', '2']);
    expect(headers).toEqual(headers.map(({ revision }) => ({ ...expected, revision })));
  });

  it('forgets writes and leases since the copy and assigns revisions and leases again', async () => {
    const lease = await post('/v3/lease/grant', { TTL: '10', ID: '0' });
    await put('/kept');
    await put('/held', lease.ID);
    const copy = gateway.table.copy();
    await put('/lost');
    const lostLease = await post('/v3/lease/grant', { TTL: '10', ID: '0' });
    gateway.table.restore(copy);
    expect(await storedKeys()).toEqual(['/kept']);
    expect((await post('/v3/lease/keepalive', { ID: lease.ID })).result.TTL).toBe('0');
    expect((await put('/new')).header).toEqual({
      cluster_id: '14841640',
      member_id: '114841640',
      revision: '4',
      raft_term: '2',
    });
    expect((await post('/v3/lease/grant', { TTL: '10', ID: '0' })).ID).toBe(lostLease.ID);
  });

  it('keeps the cluster identifier if a data directory is restored', async () => {
    gateway.table.electLeader();
    const copy = gateway.table.copy();
    gateway.table.electLeader();
    gateway.table.electLeader();
    await put('/lost');
    gateway.table.restore(copy, { keepsClusterIdentifier: true });
    const { header } = await post('/v3/kv/range', { key: encode('/lost') });
    expect(header).toMatchObject({ cluster_id: '14841639', revision: '1', raft_term: '4' });
  });

  // Guards against tests that pass only because the stand-in reports what etcd does not.
  it('breaks open watches and delivers nothing from a future revision', async () => {
    const copy = gateway.table.copy();
    await put('/1');
    await put('/2');
    const broken = await openWatch(4);
    gateway.table.restore(copy);
    await expect(broken.next()).rejects.toThrow();
    const { next, close } = await openWatch(4);
    await put('/3');
    await put('/4');
    await put('/5');
    expect((await next()).result.header.revision).toBe('4');
    await close();
  });
});
