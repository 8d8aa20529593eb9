import { createMeasuredRelay } from './MeasuredRelay.js';
import type { ProcessReport, RelayOptions } from './BenchMessages.js';

const MICROSECONDS_PER_SECOND = 1_000_000;

function report(message: ProcessReport): void {
  process.send?.(message);
}

// Each message requests a sample and says whether to collect garbage before memory is measured.
process.on('message', (collectsGarbage: boolean) => {
  const { user, system } = process.cpuUsage();
  if (collectsGarbage) {
    global.gc?.();
  }
  const { rss, heapUsed, external } = process.memoryUsage();
  const cpuSeconds = (user + system) / MICROSECONDS_PER_SECOND;
  const heapBytes = heapUsed + external;
  report({ type: 'sample', sample: { cpuSeconds, residentBytes: rss, heapBytes } });
});
process.once('disconnect', () => process.exit(0));

const relay = createMeasuredRelay(JSON.parse(process.argv[2] ?? '') as RelayOptions);
report({ type: 'ready', url: await relay.start() });
