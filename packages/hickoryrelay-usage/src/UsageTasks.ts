import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import type { InstanceUsage } from './InstanceUsage.js';
import type { TaskContext } from 'hickoryrelay/Task';

const ADOPTION_INTERVAL_MILLISECONDS = 1000;
const SEAL_CHECK_INTERVAL_MILLISECONDS = 1000;
const REPORT_CHECK_INTERVAL_MILLISECONDS = 5000;
/** Delay after a failed seal, so that an outage does not cause a read each second. */
const RETRY_DELAY_MILLISECONDS = 5000;

const USAGE_MESSAGE_TYPES = [
  'usage-open',
  'usage-progress',
  'usage-close',
  'usage-acknowledged',
  'usage-collect',
  'usage-statement',
] as const;

/** A task of the usage accounting of an instance. */
abstract class UsageTask extends Task {
  protected readonly usage: InstanceUsage;

  constructor(usage: InstanceUsage) {
    super();
    this.usage = usage;
  }
}

/** Handles the usage messages of all peers, in order. */
class UsageMessagesTask extends UsageTask {
  override readonly name = 'usage messages';

  protected override async *steps({ signal }: TaskContext): AsyncGenerator<void, void, void> {
    for await (const received of this.usage.network.messages(USAGE_MESSAGE_TYPES, signal)) {
      this.usage.handleMessage(received);
      yield;
    }
  }
}

/** Sends batches of usage records to the replica peers. */
class UsageReplicationTask extends UsageTask {
  override readonly name = 'usage replication';

  protected override async *steps(context: TaskContext): AsyncGenerator<void, void, void> {
    for (;;) {
      this.usage.replicate();
      yield;
      await context.clock.sleep(this.usage.batchIntervalMilliseconds, context.signal);
    }
  }
}

/** Closes the open records of dead instances. */
class UsageAdoptionTask extends UsageTask {
  override readonly name = 'usage adoption';

  protected override async *steps(context: TaskContext): AsyncGenerator<void, void, void> {
    for (;;) {
      await context.clock.sleep(ADOPTION_INTERVAL_MILLISECONDS, context.signal);
      yield;
      await this.usage.replica.closeOrphanedRecords();
    }
  }
}

/** Seals the windows of the zone while this instance holds its authority. */
class UsageSealingTask extends UsageTask {
  override readonly name = 'usage sealing';

  protected override async *steps({
    clock,
    signal,
  }: TaskContext): AsyncGenerator<void, void, void> {
    const { sealer, log } = this.usage;
    for (;;) {
      await clock.sleep(SEAL_CHECK_INTERVAL_MILLISECONDS, signal);
      yield;
      if (sealer.isDue) {
        try {
          await sealer.seal(signal);
        } catch (error) {
          log.warn('Could not seal a usage window.', { reason: describeFailure(failureOf(error)) });
          await clock.sleep(RETRY_DELAY_MILLISECONDS, signal);
        }
      }
    }
  }
}

/** Reports the sealed windows of the zone while this instance holds its authority. */
class UsageReportingTask extends UsageTask {
  override readonly name = 'usage reporting';

  protected override async *steps({
    clock,
    signal,
  }: TaskContext): AsyncGenerator<void, void, void> {
    const { reporter, sealer, log } = this.usage;
    for (;;) {
      await clock.sleep(REPORT_CHECK_INTERVAL_MILLISECONDS, signal);
      yield;
      if (reporter.isDue(sealer.sealedWindow)) {
        try {
          await reporter.report(sealer.sealedWindow);
        } catch (error) {
          const reason = describeFailure(failureOf(error));
          log.warn('Could not report a usage window.', { reason });
        }
      }
    }
  }
}

/** Creates the tasks of the usage accounting of an instance, which the instance starts. */
export function usageTasks(usage: InstanceUsage): readonly Task[] {
  return [
    new UsageMessagesTask(usage),
    new UsageReplicationTask(usage),
    new UsageAdoptionTask(usage),
    new UsageSealingTask(usage),
    new UsageReportingTask(usage),
  ];
}
