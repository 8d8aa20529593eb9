import { once } from 'node:events';
import { createServer } from 'node:http';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

import { ExchangeFixture } from './ExchangeFixture.js';

import type { AddressInfo } from 'node:net';

let fixture: ExchangeFixture;
const cleanUps: (() => unknown)[] = [];

beforeEach(async () => {
  fixture = await new ExchangeFixture().start(0);
});

afterEach(async () => {
  await fixture.stop();
  cleanUps.splice(0).forEach((cleanUp) => cleanUp());
});

/** Statuses that no response may have (RFC 9110, section 15). Others do not pass the HTTP client. */
const INVALID_STATUSES = [600, 601, 700, 999] as const;

/** Starts services that together send an invalid status first. Returns their numbers of calls. */
async function supplyServices(count: number, status: number): Promise<{ calls: number }> {
  const counter = { calls: 0 };
  const supplied = [];
  for (let index = 0; index < count; index += 1) {
    const server = createServer((request, response) => {
      counter.calls += 1;
      request.resume();
      response.setHeader('x-request-id', String(request.headers['x-request-id']));
      response.writeHead(counter.calls === 1 ? status : 200).end('body');
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    cleanUps.push(() => {
      server.closeAllConnections();
      server.close();
    });
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    const identifier = `service-${index}`;
    supplied.push({ identifier, kind: 'service', zone: 'zone-a', state: 'live' as const, url });
  }
  const kinds = sampleDeclarations().endpointKinds;
  fixture.fleet.update(supplied, new Map(kinds.map((each) => [each.name, each])));
  return counter;
}

describe('a service that sends an invalid status', () => {
  it.each(INVALID_STATUSES)(
    'fails a call that may not be repeated after status %d',
    async (status) => {
      const counter = await supplyServices(2, status);
      const writer = await fixture.run(fixture.serviceCall());
      expect(writer.hasBegun).toBe(false);
      expect(writer.report).toMatchObject({ failure: { kind: 'result-unknown' }, notRun: false });
      expect(counter.calls).toBe(1);
    },
  );

  it.each(INVALID_STATUSES)('is followed by another attempt after status %d', async (status) => {
    const counter = await supplyServices(2, status);
    const writer = await fixture.run(fixture.serviceCall({ isIdempotent: true }));
    expect(writer.status).toBe(200);
    expect(writer.text).toBe('body');
    expect(counter.calls).toBe(2);
  });
});
