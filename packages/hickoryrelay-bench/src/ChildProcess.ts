import { fork } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

import type { ProcessReport, ProcessSample } from './BenchMessages.js';
import type { ChildProcess as NodeChildProcess } from 'node:child_process';

/** A child process of a measurement, forked from a file in the directory of this one. */
export class ChildProcess {
  private readonly child: NodeChildProcess;

  constructor(file: string, argument: string) {
    const path = fileURLToPath(new URL(file, import.meta.url));
    this.child = fork(path, [argument], { execArgv: ['--expose-gc'] });
  }

  /** Resolves with the base URL when the process listens. */
  async ready(): Promise<string> {
    const report = await this.nextReport();
    return report.type === 'ready' ? report.url : '';
  }

  /** Samples CPU time and memory. Exact memory needs a garbage collection, which uses CPU time. */
  async sample(collectsGarbage: boolean): Promise<ProcessSample> {
    this.child.send(collectsGarbage);
    const report = await this.nextReport();
    return report.type === 'sample'
      ? report.sample
      : { cpuSeconds: 0, residentBytes: 0, heapBytes: 0 };
  }

  async stop(): Promise<void> {
    const exited = once(this.child, 'exit');
    this.child.disconnect();
    await exited;
  }

  private async nextReport(): Promise<ProcessReport> {
    const [report] = (await once(this.child, 'message')) as [ProcessReport];
    return report;
  }
}
