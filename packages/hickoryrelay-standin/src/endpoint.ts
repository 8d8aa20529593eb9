#!/usr/bin/env node
import meow from 'meow';
import { request } from 'undici';

import { EngineStandIn } from './EngineStandIn.js';
import { ServiceStandIn } from './ServiceStandIn.js';

const program = meow(
  `
  Usage
    $ endpoint --name <name> --kind <kind> --zone <zone> --platform <url> [--model <name> ...]

  Starts a stand-in for a model engine (with --model) or a plain service on loopback, and registers
  it with the platform stand-in.
`,
  {
    importMeta: import.meta,
    flags: {
      name: { type: 'string', isRequired: true },
      kind: { type: 'string', isRequired: true },
      zone: { type: 'string', isRequired: true },
      platform: { type: 'string', isRequired: true },
      model: { type: 'string', isMultiple: true },
      prefillRate: { type: 'number', default: 20_000 },
      decodeMilliseconds: { type: 'number', default: 10 },
    },
  },
);

const { name, kind, zone, platform, prefillRate, decodeMilliseconds } = program.flags;
const models = program.flags.model ?? [];
const standIn =
  models.length > 0
    ? new EngineStandIn(models, { prefillRate, decodeMilliseconds })
    : new ServiceStandIn();
await standIn.listen();
await request(`${platform}/endpoints/${name}`, {
  method: 'PUT',
  body: JSON.stringify({ identifier: name, kind, zone, url: standIn.url, state: 'live' }),
});
process.stdout.write(`${JSON.stringify({ name, url: standIn.url })}\n`);
process.once('SIGTERM', () => {
  void standIn.close().then(() => process.exit(0));
});
