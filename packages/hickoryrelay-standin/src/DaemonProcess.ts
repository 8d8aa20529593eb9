import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { createInterface } from 'node:readline';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { request } from 'undici';
import { stringify } from 'yaml';
import { invariant } from 'hickoryrelay/Invariant';

import type { ChildProcessWithoutNullStreams } from 'node:child_process';

const DAEMON = fileURLToPath(
  new URL('../../hickoryrelay-instance/dist/hickoryrelayd.js', import.meta.url),
);
const READY_ATTEMPTS = 1200;
const READY_INTERVAL_MILLISECONDS = 25;

/** URLs of the platform services that the daemon uses. */
export interface DaemonPlatform {
  readonly keyValue: string;
  readonly platform: string;
}

/** Entry instance in its own process, for tests that kill, pause or disconnect it. */
export class DaemonProcess {
  readonly child: ChildProcessWithoutNullStreams;

  /** Base URL at which the instance accepts calls. */
  readonly url: string;

  private logText = '';

  private constructor(child: ChildProcessWithoutNullStreams, url: string) {
    this.child = child;
    this.url = url;
    child.stderr.on('data', (chunk: Buffer) => {
      this.logText += chunk.toString('utf8');
    });
  }

  /** Everything the process has written to standard error. */
  get log(): string {
    return this.logText;
  }

  /** Starts a daemon and waits until it is ready. */
  static async start(
    name: string,
    zone: string,
    { keyValue, platform }: DaemonPlatform,
    settings: object = {},
    runtimeArguments: readonly string[] = [],
  ): Promise<DaemonProcess> {
    const folder = await mkdtemp(path.join(tmpdir(), 'hickoryrelay-test-'));
    const file = path.join(folder, 'settings.yaml');
    const content = {
      instance: { name, zone },
      callers: { address: '127.0.0.1', port: 0 },
      peers: { address: '127.0.0.1', port: 0 },
      platform: { keyValue: [keyValue], supply: platform, instances: platform, usage: platform },
      drain: { announceSeconds: 0, deadlineSeconds: 60 },
      ...settings,
    };
    await writeFile(file, stringify(content));
    const child = spawn(process.execPath, [...runtimeArguments, DAEMON, '--settings', file]);
    const [line] = (await once(createInterface({ input: child.stdout }), 'line')) as [string];
    const { callers } = JSON.parse(line) as { callers: string };
    const daemon = new DaemonProcess(child, callers);
    await daemon.waitUntil(() => daemon.isReady());
    return daemon;
  }

  async isReady(): Promise<boolean> {
    const response = await request(`${this.url}/health/ready`);
    await response.body.dump();
    return response.statusCode === 200;
  }

  /** Polls a condition until it holds. Throws if the attempts run out. */
  async waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
    for (let attempt = 0; attempt < READY_ATTEMPTS; attempt += 1) {
      if (await condition()) {
        return;
      }
      await sleep(READY_INTERVAL_MILLISECONDS);
    }
    invariant(false, `the condition was not met within the retry limit; log: ${this.logText}`);
  }

  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Resolves with the exit code when the process has ended. */
  async exited(): Promise<number | null> {
    if (this.child.exitCode === null && this.child.signalCode === null) {
      await once(this.child, 'exit');
    }
    return this.child.exitCode;
  }
}
