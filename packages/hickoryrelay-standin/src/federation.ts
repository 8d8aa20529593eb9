#!/usr/bin/env node
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFile, mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { createInterface } from 'node:readline';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import meow from 'meow';
import { request } from 'undici';
import { stringify } from 'yaml';
import { invariant } from 'hickoryrelay/Invariant';
import { SystemRandomSource } from 'hickoryrelay/RandomSource';
import { AccessKey } from 'hickoryrelay-contract/AccessKey';
import { declarationsSchema } from 'hickoryrelay-contract/Declarations';
import { YamlParser } from 'hickoryrelay-contract/YamlParser';
import { ConfigurationStore } from 'hickoryrelay-platform/ConfigurationStore';
import { EtcdKeyValueStore } from 'hickoryrelay-platform/EtcdKeyValueStore';

import type { DeclarationsDocument } from 'hickoryrelay-contract/Declarations';
import type { ChildProcess } from 'node:child_process';

const program = meow(
  `
  Usage
    $ federation [--declarations <file>] [--port <port>] [--check]

  Starts a federation on loopback: a platform stand-in, 3 availability zones, 7 entry instances,
  13 engines and 3 plain services, each in its own process. Stops on SIGINT or SIGTERM.

  Options
    --declarations  Declarations file [examples/foucault/declarations.yaml]
    --port          Port of the first entry instance, which the others follow; 0 picks free ports [8101]
    --check         Send one request of each kind, print the responses and stop
`,
  {
    importMeta: import.meta,
    flags: {
      declarations: { type: 'string' },
      port: { type: 'number', default: 8101 },
      check: { type: 'boolean', default: false },
    },
  },
);

const ENGINE_COUNT = 13;
const SERVICE_COUNT = 3;
const INSTANCE_COUNT = 7;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const DAEMON = 'packages/hickoryrelay-instance/dist/hickoryrelayd.js';
const READY_ATTEMPTS = 200;
const READY_INTERVAL_MILLISECONDS = 50;

const root = fileURLToPath(new URL('../../../', import.meta.url));
const daemons: ChildProcess[] = [];
const standIns: ChildProcess[] = [];

function zoneForIndex(index: number): string {
  const zone = ZONES[index % ZONES.length];
  invariant(zone !== undefined, `no zone for index ${index}`);
  return zone;
}

function startProcess(script: string, parameters: readonly string[]): ChildProcess {
  const child = spawn(process.execPath, [path.join(root, script), ...parameters], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  (script === DAEMON ? daemons : standIns).push(child);
  return child;
}

/** Starts a process and returns the addresses that it prints as a JSON line. */
async function startAndReadReport<Report>(
  script: string,
  parameters: readonly string[],
): Promise<Report> {
  const child = startProcess(script, parameters);
  invariant(child.stdout !== null, `${script} has no standard output`);
  const lines = createInterface({ input: child.stdout });
  const [line] = (await Promise.race([once(lines, 'line'), once(lines, 'close')])) as [string?];
  invariant(line !== undefined, `${script} exited before it reported its addresses`);
  return JSON.parse(line) as Report;
}

function startStandIn<Report>(script: string, parameters: readonly string[]): Promise<Report> {
  return startAndReadReport(`packages/hickoryrelay-standin/dist/${script}.js`, parameters);
}

async function startEndpoints(document: DeclarationsDocument, platform: string): Promise<void> {
  const engineKinds = document.endpointKinds.filter((kind) => kind.serves === 'model');
  const serviceKinds = document.endpointKinds.filter((kind) => kind.serves === 'service');
  const start = (index: number, prefix: string, kinds: typeof engineKinds) => {
    const kind = kinds[index % kinds.length];
    invariant(kind !== undefined, `the declarations have no endpoint kind for ${prefix} endpoints`);
    const models = kind.models.flatMap((model) => ['--model', model]);
    const name = `${prefix}-${index + 1}`;
    return startStandIn('endpoint', [
      ...['--name', name, '--kind', kind.name, '--zone', zoneForIndex(index)],
      ...['--platform', platform, ...models],
    ]);
  };
  await Promise.all([
    ...Array.from({ length: ENGINE_COUNT }, (empty, index) => start(index, 'engine', engineKinds)),
    ...Array.from({ length: SERVICE_COUNT }, (empty, index) =>
      start(index, 'service', serviceKinds),
    ),
  ]);
}

async function startInstances(keyValue: string, platform: string): Promise<string[]> {
  const folder = await mkdtemp(path.join(tmpdir(), 'hickoryrelay-'));
  const starts = Array.from({ length: INSTANCE_COUNT }, async (empty, index) => {
    const name = `entry-${index + 1}`;
    const port = program.flags.port === 0 ? 0 : program.flags.port + index;
    const settings = {
      instance: { name, zone: zoneForIndex(index) },
      callers: { address: '127.0.0.1', port },
      peers: { address: '127.0.0.1', port: 0 },
      platform: { keyValue: [keyValue], supply: platform, instances: platform, usage: platform },
      drain: { announceSeconds: 0 },
      log: { level: 'warn' },
    };
    const file = path.join(folder, `${name}.yaml`);
    await writeFile(file, stringify(settings));
    const report = await startAndReadReport<{ callers: string }>(DAEMON, ['--settings', file]);
    return report.callers;
  });
  return Promise.all(starts);
}

async function waitUntilReady(url: string): Promise<void> {
  for (let attempt = 0; attempt < READY_ATTEMPTS; attempt += 1) {
    try {
      const response = await request(`${url}/health/ready`);
      await response.body.dump();
      if (response.statusCode === 200) {
        return;
      }
    } catch {
      // The instance is not listening yet.
    }
    await sleep(READY_INTERVAL_MILLISECONDS);
  }
  invariant(false, `${url} did not become ready`);
}

async function sendSampleRequests(url: string, key: string, document: DeclarationsDocument) {
  const model = document.classes.flatMap((each) => (each.kind === 'model' ? each.models : []))[0];
  const service = document.classes.find((each) => each.kind === 'service' && !each.idempotent);
  invariant(service?.kind === 'service', 'the declarations have no non-idempotent service');
  const headers = { authorization: `Bearer ${key}`, 'content-type': 'application/json' };
  const chat = await request(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers,
    body: JSON.stringify({
      model,
      stream: true,
      max_tokens: 4,
      messages: [{ role: 'user', content: 'Where does the pendulum swing?' }],
    }),
  });
  process.stdout.write(`chat ${chat.statusCode}\n${await chat.body.text()}`);
  const order = await request(`${url}/services/${service.route}/new`, {
    method: 'POST',
    headers: { ...headers, 'idempotency-key': 'federation-check' },
    body: JSON.stringify({ item: 1 }),
  });
  process.stdout.write(`${service.route} ${order.statusCode} ${await order.body.text()}\n`);
  invariant(chat.statusCode === 200, `chat request returned status ${chat.statusCode}`);
  invariant(
    order.statusCode === 200,
    `request to ${service.route} returned status ${order.statusCode}`,
  );
}

async function stopProcess(child: ChildProcess): Promise<void> {
  if (child.exitCode === null && child.signalCode === null) {
    const ended = once(child, 'exit');
    child.kill('SIGTERM');
    await ended;
  }
}

/** Stops the entry instances first: they hand over their leases while the platform still runs. */
async function stop(): Promise<void> {
  await Promise.all(daemons.map(stopProcess));
  await Promise.all(standIns.map(stopProcess));
}

/** Adds a new key to the first account of the document and returns its text. */
function issueFirstKey(document: DeclarationsDocument): string {
  const { text, declaration } = AccessKey.issue(new SystemRandomSource());
  const [account] = document.accounts;
  invariant(account !== undefined, 'the declarations have no client account');
  account.keys = [...(account.keys ?? []), declaration];
  return text;
}

async function run(): Promise<void> {
  const file = program.flags.declarations ?? path.join(root, 'examples/foucault/declarations.yaml');
  const document = new YamlParser(declarationsSchema).parse(file, await readFile(file, 'utf8'));
  const key = issueFirstKey(document);
  const urls = await startStandIn<{ keyValue: string; platform: string }>('platform', []);
  const store = new EtcdKeyValueStore({ urls: [urls.keyValue] });
  await new ConfigurationStore(store).replace(document, 0, {
    author: 'federation',
    summary: 'First declarations',
    wallMilliseconds: Date.now(),
  });
  await store.close();
  await startEndpoints(document, urls.platform);
  const instances = await startInstances(urls.keyValue, urls.platform);
  await Promise.all(instances.map(waitUntilReady));
  const first = instances[0] ?? '';
  process.stdout.write(
    `Key-value service: ${urls.keyValue}\nEntry instances: ${instances.join(' ')}\n`,
  );
  process.stdout.write(`Key of account ${document.accounts[0]?.name}: ${key}\n`);
  if (program.flags.check) {
    await sleep(1500);
    await sendSampleRequests(first, key, document);
    await stop();
  }
}

function stopAndExit(): void {
  void stop().then(() => process.exit(0));
}

process.once('SIGINT', stopAndExit);
process.once('SIGTERM', stopAndExit);
try {
  await run();
} catch (error) {
  process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
  await stop();
  process.exitCode = 1;
}
