import { createServer } from 'node:http';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

import { ExchangeFixture } from './ExchangeFixture.js';

import type { RecordingWriter } from './ExchangeFixture.js';
import type { EngineStandIn } from 'hickoryrelay-standin/EngineStandIn';
import type { OutgoingHttpHeaders } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A plain service that records its calls and whose first response has a status and headers. */
class ScriptedService {
  calls = 0;

  readonly identifier: string;

  private readonly server = createServer((request, response) => {
    this.calls += 1;
    request.resume();
    const isFirst = this.calls === 1;
    response.setHeader('x-request-id', String(request.headers['x-request-id']));
    response.writeHead(isFirst ? this.status : 200, isFirst ? this.headers : {}).end('body');
  });

  private readonly status: number;

  private readonly headers: OutgoingHttpHeaders;

  constructor(identifier: string, status = 200, headers: OutgoingHttpHeaders = {}) {
    this.identifier = identifier;
    this.status = status;
    this.headers = headers;
  }

  async listen(): Promise<this> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return this;
  }

  get supplied() {
    const { port } = this.server.address() as AddressInfo;
    const { identifier } = this;
    const url = `http://127.0.0.1:${port}`;
    return { identifier, kind: 'service', zone: 'zone-a', state: 'live' as const, url };
  }

  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}

let fixture: ExchangeFixture;
let services: ScriptedService[];

beforeEach(async () => {
  fixture = await new ExchangeFixture().start(0);
  services = [];
});

afterEach(async () => {
  await fixture.stop();
  services.forEach((service) => service.close());
});

async function startService(...options: ConstructorParameters<typeof ScriptedService>) {
  const service = await new ScriptedService(...options).listen();
  services.push(service);
  return service;
}

/** Applies a list of the platform in which the services are live. */
function supply(...listed: ScriptedService[]): void {
  const kinds = sampleDeclarations().endpointKinds;
  fixture.fleet.update(
    listed.map(({ supplied }) => supplied),
    new Map(kinds.map((each) => [each.name, each])),
  );
}

async function call(count: number): Promise<RecordingWriter[]> {
  const writers: RecordingWriter[] = [];
  for (let index = 0; index < count; index += 1) {
    writers.push(await fixture.run(fixture.serviceCall()));
  }
  return writers;
}

describe('an endpoint that announces in a response that it is leaving', () => {
  it('gets no further call, although the list of the platform has it as live', async () => {
    const leaving = await startService('service-1', 200, { 'x-endpoint-leaving': '1' });
    const other = await startService('service-2');
    supply(leaving);
    await call(1);
    supply(leaving, other);
    await call(20);
    expect([leaving.calls, other.calls]).toEqual([1, 20]);
  });
});

describe('an endpoint that responds with 503 and Retry-After', () => {
  it('gets no call until the time has passed', async () => {
    const refusing = await startService('service-1', 503, { 'retry-after': '50' });
    const other = await startService('service-2');
    supply(refusing);
    await call(1);
    supply(refusing, other);
    await call(20);
    expect([refusing.calls, other.calls]).toEqual([1, 20]);
    await fixture.clock.advance(50_000);
    supply(refusing);
    await call(2);
    expect(refusing.calls).toBe(3);
  });

  // Guards against calls that wait in the admission queue until their deadline.
  it('leaves calls refused at once, until the endpoint takes calls', async () => {
    const refusing = await startService('service-1', 503, { 'retry-after': '50' });
    supply(refusing);
    await call(1);
    const [writer] = await call(1);
    const failure = writer?.report?.failure;
    expect(failure).toMatchObject({ kind: 'no-endpoint' });
    expect(failure).toHaveProperty('retryAfterSeconds', 50);
    expect(refusing.calls).toBe(1);
  });
});

describe('an engine that names a rate limit', () => {
  /** Makes 20 calls a second for a time. Returns how many of them reached the first engine. */
  async function callFor(seconds: number): Promise<number> {
    const [engine] = fixture.engines;
    const before = engine?.received.length ?? 0;
    for (let step = 0; step < seconds * 20; step += 1) {
      const writer = await fixture.run(fixture.modelCall({}, 1));
      expect(writer.report).toBeUndefined();
      await fixture.clock.advance(50);
    }
    return (engine?.received.length ?? 0) - before;
  }

  beforeEach(async () => {
    await fixture.stop();
    fixture = await new ExchangeFixture().start(2);
  });

  // Guards against a limit in the product's own header that is read but not kept.
  it('gets no more calls than that, and others when it has dropped it', async () => {
    const [engine] = fixture.engines as [EngineStandIn];
    expect(await callFor(2)).toBeGreaterThan(10);
    engine.rateLimit = 2;
    await callFor(1);
    const limited = await callFor(8);
    expect(limited).toBeLessThanOrEqual(2 * 8 + 2);
    expect(limited).toBeGreaterThan(4);
    engine.rateLimit = undefined;
    await callFor(1);
    expect(await callFor(2)).toBeGreaterThan(10);
  });
});
