/* eslint no-await-in-loop: "off", no-restricted-syntax: "off", max-classes-per-file: "off", no-void: "off", import-x/extensions: "off", import-x/prefer-default-export: "off" */
import { createServer } from 'node:http';

/** In-memory stand-in for the platform's store. Loses nothing and executes calls in their order. */
export class StoreStandIn {
  constructor() {
    this.items = new Map();
    this.leases = new Map();
    this.revision = 100;
    this.lastLease = 0;
    /** Called with each read of the list, by the name that `listen` was given. */
    this.onListRead = () => {};
    this.servers = [];
    this.timer = setInterval(() => this.expireLeases(), 50);
  }

  /** Opens a listener of its own for each caller, so that their calls can be told apart. */
  async listen(caller = '') {
    const server = createServer((request, response) => this.receive(request, response, caller));
    this.servers.push(server);
    await new Promise((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${server.address().port}`;
  }

  close() {
    clearInterval(this.timer);
    this.servers.forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
  }

  /** Writes an entry as the operator or an engine does. Returns the revision. */
  put(key, value, lease = 0) {
    this.revision += 1;
    this.items.set(key, {
      key,
      value: Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString(
        'base64',
      ),
      revision: this.revision,
      create_rev: this.items.get(key)?.create_rev ?? this.revision,
      lease,
    });
    return this.revision;
  }

  remove(key) {
    if (this.items.delete(key)) {
      this.revision += 1;
    }
  }

  get(key) {
    const item = this.items.get(key);
    return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString('utf8');
  }

  expireLeases() {
    for (const [lease, { endsAt }] of this.leases) {
      if (performance.now() >= endsAt) {
        this.endLease(lease);
      }
    }
  }

  endLease(lease) {
    this.leases.delete(lease);
    for (const item of [...this.items.values()]) {
      if (item.lease === lease) {
        this.remove(item.key);
      }
    }
  }

  receive(request, response, caller) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      if (request.url.startsWith('/kv-range?prefix=&')) {
        this.onListRead(caller);
      }
      const text = Buffer.concat(chunks).toString('utf8');
      const [status, body] = this.answer(
        request.method,
        new URL(request.url, 'http://store'),
        text === '' ? {} : JSON.parse(text),
      );
      response.writeHead(status, { 'Content-Type': 'application/json' });
      response.end(JSON.stringify(body));
    });
    request.on('error', () => {});
  }

  answer(method, url, body) {
    this.expireLeases();
    const [, call, argument] = url.pathname.split('/');
    switch (`${method} ${call}`) {
      case 'GET kv-key': {
        const item = this.items.get(url.searchParams.get('key'));
        return item === undefined ? [404, {}] : [200, { ...item, current_rev: this.revision }];
      }
      case 'GET kv-range': {
        const prefix = url.searchParams.get('prefix') ?? '';
        const after = url.searchParams.get('after') ?? '';
        const items = [...this.items.values()]
          .filter(({ key }) => key.startsWith(prefix) && key > after)
          .sort((left, right) => (left.key < right.key ? -1 : 1));
        return [200, { items, truncated: false, current_rev: this.revision }];
      }
      case 'POST kv-txn':
        return this.commit(body);
      case 'POST kv-lease': {
        this.lastLease += 1;
        this.leases.set(this.lastLease, {
          milliseconds: body.ttl_ms,
          endsAt: performance.now() + body.ttl_ms,
        });
        return [200, { lease: this.lastLease, ttl_ms: body.ttl_ms }];
      }
      case 'POST kv-keep': {
        const lease = this.leases.get(Number(argument));
        if (lease === undefined) {
          return [404, {}];
        }
        lease.endsAt = performance.now() + lease.milliseconds;
        return [200, { ttl_ms: lease.milliseconds }];
      }
      case 'DELETE kv-lease-end': {
        const isKnown = this.leases.has(Number(argument));
        this.endLease(Number(argument));
        return [isKnown ? 200 : 404, {}];
      }
      default:
        return [404, {}];
    }
  }

  commit({ precondition = [], writes = [], remove = [] }) {
    const isMet = precondition.every(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) {
      return [412, { items: precondition.flatMap(({ key }) => this.items.get(key) ?? []) }];
    }
    if (writes.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) {
      return [404, {}];
    }
    this.revision += 1;
    for (const { key, value, lease = 0 } of writes) {
      const createRevision = this.items.get(key)?.create_rev ?? this.revision;
      this.items.set(key, {
        key,
        value,
        revision: this.revision,
        create_rev: createRevision,
        lease,
      });
    }
    remove.forEach((key) => this.items.delete(key));
    return [200, { revision: this.revision }];
  }
}
