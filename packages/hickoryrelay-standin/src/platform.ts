#!/usr/bin/env node
import meow from 'meow';
import { SystemClock } from 'hickoryrelay/Clock';

import { KeyValueGateway } from './KeyValueGateway.js';
import { KeyValueTable } from './KeyValueTable.js';
import { PlatformStandIn } from './PlatformStandIn.js';

const program = meow(
  `
  Usage
    $ platform [--key-value-port <port>] [--port <port>]

  Starts stand-ins for the key-value service and the other platform services on loopback.
`,
  {
    importMeta: import.meta,
    flags: {
      keyValuePort: { type: 'number', default: 0 },
      port: { type: 'number', default: 0 },
    },
  },
);

const gateway = new KeyValueGateway(new KeyValueTable(new SystemClock()));
const platform = new PlatformStandIn();
await gateway.listen(program.flags.keyValuePort);
await platform.listen(program.flags.port);
process.stdout.write(`${JSON.stringify({ keyValue: gateway.url, platform: platform.url })}\n`);
process.once('SIGTERM', () => {
  void Promise.all([gateway.close(), platform.close()]).then(() => process.exit(0));
});
