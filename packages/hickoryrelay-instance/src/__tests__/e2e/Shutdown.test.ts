import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { createInterface } from 'node:readline';

import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';
import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { stringify } from 'yaml';

import type { ChildProcess } from 'node:child_process';

const DAEMON = 'packages/hickoryrelay-instance/dist/hickoryrelayd.js';
const READY_ATTEMPTS = 400;

interface Daemon {
  readonly child: ChildProcess;
  readonly url: string;
  readonly log: () => string;
}

describe('shutdown of the daemon process', () => {
  const federation = new LocalFederation();
  const children: ChildProcess[] = [];
  let key = '';

  beforeAll(async () => {
    await federation.start();
    await federation.addEngine('engine-1', {
      kind: 'engine',
      zone: 'zone-a',
      models: ['model-one'],
      times: { prefillRate: 100_000, decodeMilliseconds: 20 },
    });
    const document = sampleDeclarations();
    key = federation.issueKey(document, 'first');
    await federation.apply(document);
  });

  afterAll(async () => {
    children.forEach((child) => child.kill('SIGKILL'));
    await federation.stop();
  });

  async function isReady(url: string): Promise<boolean> {
    const response = await request(`${url}/health/ready`);
    await response.body.dump();
    return response.statusCode === 200;
  }

  async function startDaemon(drain: object): Promise<Daemon> {
    const folder = await mkdtemp(path.join(tmpdir(), 'hickoryrelay-test-'));
    const file = path.join(folder, 'settings.yaml');
    const platform = federation.platform.url;
    const settings = {
      instance: { name: 'entry-1', zone: 'zone-a' },
      callers: { address: '127.0.0.1', port: 0 },
      peers: { address: '127.0.0.1', port: 0 },
      platform: {
        keyValue: [federation.gateway.url],
        supply: platform,
        instances: platform,
        usage: platform,
      },
      drain,
    };
    await writeFile(file, stringify(settings));
    const child = spawn(process.execPath, [DAEMON, '--settings', file]);
    children.push(child);
    let log = '';
    child.stderr.on('data', (chunk: Buffer) => {
      log += chunk.toString('utf8');
    });
    const [line] = (await once(createInterface({ input: child.stdout }), 'line')) as [string];
    const { callers } = JSON.parse(line) as { callers: string };
    for (let attempt = 0; attempt < READY_ATTEMPTS; attempt += 1) {
      if (await isReady(callers)) {
        break;
      }
      await federation.clock.sleep(25);
    }
    return { child, url: callers, log: () => log };
  }

  const startStream = async (url: string, maxTokens: number) => {
    for (let attempt = 0; ; attempt += 1) {
      const response = await request(`${url}/v1/chat/completions`, {
        method: 'POST',
        headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
        body: JSON.stringify({
          model: 'model-one',
          messages: [],
          stream: true,
          max_tokens: maxTokens,
        }),
      });
      if (response.statusCode === 200 || attempt === READY_ATTEMPTS) {
        return response;
      }
      await response.body.dump();
      await federation.clock.sleep(25);
    }
  };

  it('finishes a running stream, refuses new work as not run, and exits with 0', async () => {
    const { child, url } = await startDaemon({ announceSeconds: 0, deadlineSeconds: 60 });
    const stream = await startStream(url, 50);
    const exited = once(child, 'exit');
    child.kill('SIGTERM');
    await federation.waitUntil(() => child.killed);
    const late = await startLate(url);
    const text = await stream.body.text();
    expect(text).toContain('[DONE]');
    expect(late).toMatch(/"code":"shutting-down".*"not_run":true|connection refused/u);
    expect((await exited)[0]).toBe(0);
  });

  /** Sends calls until one is refused; returns the refusal. */
  async function startLate(url: string): Promise<string> {
    for (;;) {
      try {
        const response = await request(`${url}/v1/chat/completions`, {
          method: 'POST',
          headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
          body: JSON.stringify({ model: 'model-one', messages: [], max_tokens: 1 }),
        });
        const text = await response.body.text();
        if (response.statusCode !== 200) {
          return text;
        }
      } catch {
        return 'connection refused';
      }
    }
  }

  it('ends at the second signal, names the lost call and exits with 3', async () => {
    const { child, url, log } = await startDaemon({ announceSeconds: 0, deadlineSeconds: 600 });
    const stream = await startStream(url, 100_000);
    const requestIdentifier = String(stream.headers['x-request-id']);
    stream.body.on('error', () => {});
    stream.body.resume();
    const exited = once(child, 'exit');
    child.kill('SIGTERM');
    await federation.waitUntil(() => log().includes('Takes no new work.'));
    child.kill('SIGTERM');
    const [code] = (await exited) as [number];
    expect(log()).toContain(requestIdentifier);
    expect(code).toBe(3);
    expect(log()).toContain(requestIdentifier);
    expect(log()).not.toContain(key);
  });
});
