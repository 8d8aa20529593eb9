import { measuredRelay } from './MeasuredRelay.js';
import type { ProcessReport, RelayOrder } from './BenchMessages.js';

const MICROSECONDS_PER_SECOND = 1_000_000;

function report(message: ProcessReport): void {
  process.send?.(message);
}

/** Each message asks for a sample and tells whether garbage is to be collected before the count. */
process.on('message', (collects: boolean) => {
  const { user, system } = process.cpuUsage();
  if (collects) {
    global.gc?.();
  }
  const { rss, heapUsed, external } = process.memoryUsage();
  const cpuSeconds = (user + system) / MICROSECONDS_PER_SECOND;
  const heapBytes = heapUsed + external;
  report({ type: 'sample', sample: { cpuSeconds, residentBytes: rss, heapBytes } });
});
process.once('disconnect', () => process.exit(0));

const relay = measuredRelay(JSON.parse(process.argv[2] ?? '') as RelayOrder);
report({ type: 'ready', url: await relay.start() });
