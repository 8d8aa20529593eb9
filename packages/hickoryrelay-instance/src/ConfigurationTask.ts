import { Task } from 'hickoryrelay/Task';

import type { ConfigurationIntake } from './ConfigurationIntake.js';
import type { InstanceDigest } from './InstanceDigest.js';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { TaskContext } from 'hickoryrelay/Task';

const READ_INTERVAL_MILLISECONDS = 5000;
const FIRST_READ_INTERVAL_MILLISECONDS = 250;

/** Reads the configuration head periodically, because a watch can go silent. */
export class ConfigurationTask extends Task {
  override readonly name = 'configuration reader';

  private readonly intake: ConfigurationIntake;

  private readonly digest: InstanceDigest;

  private readonly random: RandomSource;

  constructor(intake: ConfigurationIntake, digest: InstanceDigest, random: RandomSource) {
    super();
    this.intake = intake;
    this.digest = digest;
    this.random = random;
  }

  protected override async *steps({
    clock,
    signal,
  }: TaskContext): AsyncGenerator<void, void, void> {
    let isSettled = false;
    for (;;) {
      const hasAnswered = await this.intake.readPlatform();
      yield;
      this.intake.settleWithoutPlatform(this.digest.highestRevision);
      isSettled ||= hasAnswered && this.intake.newestRevision > 0;
      const interval = isSettled ? READ_INTERVAL_MILLISECONDS : FIRST_READ_INTERVAL_MILLISECONDS;
      await clock.sleep(interval * (0.75 + this.random.fraction() / 2), signal);
    }
  }
}
