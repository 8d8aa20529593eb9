import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { DaemonProcess } from 'hickoryrelay-standin/DaemonProcess';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

const READY_ATTEMPTS = 400;

describe('shutdown of the daemon process', () => {
  const federation = new LocalFederation();
  const daemons: DaemonProcess[] = [];
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
    daemons.forEach((daemon) => daemon.signal('SIGKILL'));
    await federation.stop();
  });

  async function startDaemon(drain: object): Promise<DaemonProcess> {
    const keyValue = federation.gateway.url;
    const platform = federation.platform.url;
    const daemon = await DaemonProcess.start(
      'entry-1',
      'zone-a',
      { keyValue, platform },
      { drain },
    );
    daemons.push(daemon);
    return daemon;
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

  // Guards against a shutdown that breaks running streams, and against refusals that a caller cannot
  // safely retry elsewhere.
  it('completes a running stream, refuses new calls as not run, and exits with 0', async () => {
    const daemon = await startDaemon({ announceSeconds: 0, deadlineSeconds: 60 });
    const stream = await startStream(daemon.url, 50);
    daemon.signal('SIGTERM');
    const refusal = await sendUntilRefused(daemon.url);
    const text = await stream.body.text();
    expect(text).toContain('[DONE]');
    expect(refusal).toMatch(/"code":"shutting-down".*"not_run":true|connection refused/u);
    expect(await daemon.exited()).toBe(0);
  });

  /** Sends calls until one is refused; returns the refusal, or `connection refused`. */
  async function sendUntilRefused(url: string): Promise<string> {
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

  // Guards against calls that are cut off when an operator signals that the settings have changed.
  it('goes on with its calls after SIGHUP', async () => {
    const daemon = await startDaemon({ announceSeconds: 0, deadlineSeconds: 60 });
    const stream = await startStream(daemon.url, 50);
    daemon.signal('SIGHUP');
    expect(await stream.body.text()).toContain('[DONE]');
    expect(await daemon.isReady()).toBe(true);
    daemon.signal('SIGTERM');
    expect(await daemon.exited()).toBe(0);
  });

  // Guards against a long stream that blocks an urgent stop, and against calls that are cut off
  // without a log line.
  it('ends at the second signal, logs the call that was cut off and exits with 3', async () => {
    const daemon = await startDaemon({ announceSeconds: 0, deadlineSeconds: 600 });
    const stream = await startStream(daemon.url, 100_000);
    const requestIdentifier = String(stream.headers['x-request-id']);
    stream.body.on('error', () => {});
    stream.body.resume();
    daemon.signal('SIGTERM');
    await federation.waitUntil(() => daemon.log.includes('Draining; new calls are refused.'));
    daemon.signal('SIGTERM');
    const code = await daemon.exited();
    expect(daemon.log).toContain(requestIdentifier);
    expect(code).toBe(3);
    expect(daemon.log).toContain(requestIdentifier);
    expect(daemon.log).not.toContain(key);
  });

  // Guards against shutting down twice when a supervisor and a signal handler both stop an instance.
  it('returns the result of the first stop from a second, during the drain and after it', async () => {
    const instance = await federation.addInstance('entry-2', 'zone-a');
    const stream = await startStream(federation.urlOf(instance), 100_000);
    stream.body.on('error', () => {});
    stream.body.resume();
    const first = instance.stop();
    const second = instance.stop();
    instance.forceStop();
    const cutOffIdentifiers = await first;
    expect(cutOffIdentifiers).toEqual([stream.headers['x-request-id']]);
    expect(await second).toEqual(cutOffIdentifiers);
    expect(await instance.stop()).toEqual(cutOffIdentifiers);
  });
});
