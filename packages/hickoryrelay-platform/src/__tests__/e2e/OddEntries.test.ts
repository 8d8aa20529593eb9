import { createServer } from 'node:http';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { silentLogger } from 'hickoryrelay/Logger';
import { HttpEndpointSupply, HttpInstanceList } from 'hickoryrelay-platform/HttpPlatform';

import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

const ENDPOINT = {
  identifier: 'e-1',
  kind: 'engine',
  zone: 'a',
  url: 'http://10.0.0.9:8080',
  state: 'live',
};
const INSTANCE = {
  name: 'i-1',
  zone: 'a',
  state: 'live',
  callersUrl: 'http://10.0.0.1:8080',
  peersUrl: 'ws://10.0.0.1:7400',
};

const nest = (depth: number) => '['.repeat(depth) + ']'.repeat(depth);

function variants(entry: object, urlField: string): readonly (readonly [string, string])[] {
  const withField = (field: string, value: unknown) => JSON.stringify({ ...entry, [field]: value });
  return [
    ['is null', 'null'],
    ['is a number too large', '1e999'],
    ['is nested 100,000 deep', nest(100_000)],
    ['has a zone nested 100,000 deep', `{"zone":${nest(100_000)}}`],
    ['has a zone of another type', withField('zone', 7)],
    ['has a zone of 1 MB', withField('zone', 'z'.repeat(1_000_000))],
    ['has an unknown state', withField('state', 'other')],
    ['has a port out of range', withField(urlField, 'http://10.0.0.1:70000')],
    ['has port 0', withField(urlField, 'http://10.0.0.1:0')],
    ['has an octet out of range', withField(urlField, 'http://10.0.0.256:80')],
    ['has no URL', withField(urlField, undefined)],
    ['has a URL of another protocol', withField(urlField, 'file:///etc')],
  ];
}

// Guards against one entry of another writer that keeps instances from reading a list.
describe('a list with an odd entry', () => {
  let server: Server;
  let url = '';
  let body = '';
  let warnings = 0;
  const log: ComponentLogger = {
    ...silentLogger,
    warn: () => {
      warnings += 1;
    },
  };

  beforeEach(async () => {
    warnings = 0;
    server = createServer((_request, response) => {
      response.end(body);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  it.each(variants(ENDPOINT, 'url'))('has the other endpoints if one %s', async (_name, odd) => {
    const sound = JSON.stringify(ENDPOINT);
    body = `{"endpoints":[${odd},${sound}]}`;
    const supply = new HttpEndpointSupply(url, log);
    expect(await supply.list()).toEqual([ENDPOINT]);
    expect(await supply.list('a')).toEqual([ENDPOINT]);
    expect(warnings).toBe(1);
  });

  it.each(variants(INSTANCE, 'peersUrl'))(
    'has the other instances if one %s',
    async (_name, odd) => {
      body = `{"instances":[${odd},${JSON.stringify(INSTANCE)}]}`;
      const list = new HttpInstanceList(url, log);
      expect(await list.list()).toEqual([INSTANCE]);
      expect(await list.list()).toEqual([INSTANCE]);
      expect(warnings).toBe(1);
    },
  );

  it.each(['null', '{}', '[]', '', '{"endpoints":null}'])('fails if it is %j', async (text) => {
    body = text;
    await expect(new HttpEndpointSupply(url).list()).rejects.toMatchObject({
      failure: { kind: 'protocol-violation' },
    });
  });
});
