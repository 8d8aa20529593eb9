import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { DaemonProcess } from 'hickoryrelay-standin/DaemonProcess';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';
import { RelayMode, TcpRelay } from 'hickoryrelay-standin/TcpRelay';

import type { ServiceStandIn } from 'hickoryrelay-standin/ServiceStandIn';

const ZONE = 'zone-a';

/** Leases expire in real time here, and a busy machine delays the processes. */
const TEST_TIMEOUT_MILLISECONDS = 300_000;

interface ErrorResponse {
  readonly error: { readonly code: string; readonly not_run: boolean };
}

describe('daemon processes that are killed, paused or partitioned', () => {
  const federation = new LocalFederation();
  const daemons: DaemonProcess[] = [];
  let keyValueRelay: TcpRelay;
  let platformRelay: TcpRelay;
  let service: ServiceStandIn;
  let key = '';

  beforeAll(async () => {
    await federation.start();
    await federation.addEngine('engine-1', {
      kind: 'engine',
      zone: ZONE,
      models: ['model-one'],
      times: { prefillRate: 100_000, decodeMilliseconds: 5 },
    });
    service = await federation.addService('service-1', 'service', ZONE);
    const document = sampleDeclarations();
    key = federation.issueKey(document, 'first');
    await federation.apply(document);
    keyValueRelay = new TcpRelay(federation.gateway.url);
    platformRelay = new TcpRelay(federation.platform.url);
    await Promise.all([keyValueRelay.listen(), platformRelay.listen()]);
  });

  afterAll(async () => {
    daemons.forEach((daemon) => daemon.signal('SIGKILL'));
    await federation.stop();
    await Promise.all([keyValueRelay.close(), platformRelay.close()]);
  });

  async function startDaemon(name: string): Promise<DaemonProcess> {
    const daemon = await DaemonProcess.start(name, ZONE, {
      keyValue: keyValueRelay.url,
      platform: platformRelay.url,
    });
    daemons.push(daemon);
    return daemon;
  }

  async function requestCompletion(daemon: DaemonProcess): Promise<number> {
    const response = await request(`${daemon.url}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
      body: JSON.stringify({ model: 'model-one', messages: [], max_tokens: 3 }),
    });
    await response.body.dump();
    return response.statusCode;
  }

  async function callService(daemon: DaemonProcess, idempotencyKey?: string) {
    const response = await request(`${daemon.url}/services/book/new`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${key}`,
        ...(idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey }),
      },
      body: 'one crate',
    });
    return { status: response.statusCode, body: await response.body.json() };
  }

  async function fencingNumber(daemon: DaemonProcess): Promise<number | undefined> {
    const response = await request(`${daemon.url}/admin/status`);
    const status = (await response.body.json()) as { fencingNumber?: number };
    return status.fencingNumber;
  }

  /** Waits until one of the daemons holds the authority of the zone. */
  async function waitForHolder(candidates: readonly DaemonProcess[]): Promise<DaemonProcess> {
    let holder: DaemonProcess | undefined;
    await candidates[0]?.waitUntil(async () => {
      const numbers = await Promise.all(candidates.map(fencingNumber));
      holder = candidates[numbers.findIndex((number) => number !== undefined)];
      return holder !== undefined;
    });
    expect(holder).toBeDefined();
    return holder as DaemonProcess;
  }

  // Guards against a platform outage that stops calls which need no platform, and against claimed
  // calls that run without their claim.
  it(
    'serve calls without the platform, and reject only calls that need a claim, as not run',
    { timeout: TEST_TIMEOUT_MILLISECONDS },
    async () => {
      const daemon = await startDaemon('entry-1');
      expect((await callService(daemon, 'before')).status).toBe(200);
      keyValueRelay.setMode(RelayMode.Partition);
      platformRelay.setMode(RelayMode.Partition);
      const receivedBefore = service.received.length;
      expect(await requestCompletion(daemon)).toBe(200);
      const refused = await callService(daemon, 'during');
      expect(refused.status).toBe(503);
      expect((refused.body as ErrorResponse).error.not_run).toBe(true);
      expect(service.received.length).toBe(receivedBefore);
      expect((await callService(daemon)).status).toBe(200);
      expect(service.received.length).toBe(receivedBefore + 1);
      keyValueRelay.setMode(RelayMode.Pass);
      platformRelay.setMode(RelayMode.Pass);
      await daemon.waitUntil(async () => (await callService(daemon, 'after')).status === 200);
      const again = await callService(daemon, 'after');
      expect(again.status).toBe(200);
      expect(service.received.filter(({ text }) => text === 'one crate').length).toBe(3);
      daemon.signal('SIGKILL');
      await daemon.exited();
    },
  );

  // Guards against a resumed process that still acts on an authority that has passed to another.
  it(
    'lose their authority when paused, and another acquires it with a higher fencing number',
    { timeout: TEST_TIMEOUT_MILLISECONDS },
    async () => {
      const pair = [await startDaemon('entry-2'), await startDaemon('entry-3')];
      const holder = await waitForHolder(pair);
      const first = await fencingNumber(holder);
      const others = pair.filter((daemon) => daemon !== holder);
      holder.signal('SIGSTOP');
      const successor = await waitForHolder(others);
      const second = await fencingNumber(successor);
      holder.signal('SIGCONT');
      expect(await fencingNumber(holder)).toBeUndefined();
      expect(second).toBeGreaterThan(first ?? Number.POSITIVE_INFINITY);
      successor.signal('SIGKILL');
      await successor.exited();
      await waitForHolder([holder]);
      expect(await fencingNumber(holder)).toBeGreaterThan(second ?? Number.POSITIVE_INFINITY);
      expect(await requestCompletion(holder)).toBe(200);
    },
  );
});
