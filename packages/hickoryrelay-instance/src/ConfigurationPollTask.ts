import { Task } from 'hickoryrelay/Task';

import type { ConfigurationUpdater } from './ConfigurationUpdater.js';
import type { InstanceDigest } from './InstanceDigest.js';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { TaskContext } from 'hickoryrelay/Task';

const POLL_INTERVAL_MILLISECONDS = 5000;
const STARTUP_POLL_INTERVAL_MILLISECONDS = 250;

/** Polls the configuration head, because a watch can stall without an error. */
export class ConfigurationPollTask extends Task {
  override readonly name = 'configuration reader';

  private readonly updater: ConfigurationUpdater;

  private readonly digest: InstanceDigest;

  private readonly random: RandomSource;

  constructor(updater: ConfigurationUpdater, digest: InstanceDigest, random: RandomSource) {
    super();
    this.updater = updater;
    this.digest = digest;
    this.random = random;
  }

  protected override async *steps({
    clock,
    signal,
  }: TaskContext): AsyncGenerator<void, void, void> {
    let hasConfiguration = false;
    for (;;) {
      const hasResponded = await this.updater.readPlatform();
      yield;
      this.updater.completeStartupWithoutPlatform(this.digest.highestRevision);
      hasConfiguration ||= hasResponded && this.updater.newestRevision > 0;
      const intervalMilliseconds = hasConfiguration
        ? POLL_INTERVAL_MILLISECONDS
        : STARTUP_POLL_INTERVAL_MILLISECONDS;
      await clock.sleep(intervalMilliseconds * (0.75 + this.random.fraction() / 2), signal);
    }
  }
}
