import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import type { Membership } from './Membership.js';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { TaskContext } from 'hickoryrelay/Task';
import type { InstanceList, ListedInstance } from 'hickoryrelay-platform/InstanceList';

const MINIMUM_INTERVAL_MILLISECONDS = 5000;

/** The list has about 150 bytes per instance, so this limits reading it to about 1.5 KB/s. */
const INTERVAL_MILLISECONDS_PER_INSTANCE = 100;

/** Announces this instance to the platform and reads the platform's list of instances. */
export class MembershipTask extends Task {
  override readonly name = 'instance list reader';

  private readonly membership: Membership;

  private readonly list: InstanceList;

  private readonly createAnnouncement: () => ListedInstance;

  private readonly random: RandomSource;

  private readonly log: ComponentLogger;

  constructor(
    membership: Membership,
    list: InstanceList,
    createAnnouncement: () => ListedInstance,
    random: RandomSource,
    log: ComponentLogger,
  ) {
    super();
    this.membership = membership;
    this.list = list;
    this.createAnnouncement = createAnnouncement;
    this.random = random;
    this.log = log;
  }

  protected override async *steps({
    clock,
    signal,
  }: TaskContext): AsyncGenerator<void, void, void> {
    for (;;) {
      await this.announceAndRead();
      yield;
      const interval = Math.max(
        MINIMUM_INTERVAL_MILLISECONDS,
        this.membership.listedCount * INTERVAL_MILLISECONDS_PER_INSTANCE,
      );
      await clock.sleep(interval * (0.75 + this.random.fraction() / 2), signal);
    }
  }

  private async announceAndRead(): Promise<void> {
    try {
      await this.list.register(this.createAnnouncement());
      this.membership.updateListed(await this.list.list());
    } catch (error) {
      const reason = describeFailure(failureOf(error));
      this.log.warn('Failed to announce this instance or to read the list of instances.', {
        reason,
      });
    }
  }
}
