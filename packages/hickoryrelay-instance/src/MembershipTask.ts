import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import type { Membership } from './Membership.js';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { TaskContext } from 'hickoryrelay/Task';
import type { InstanceList, ListedInstance } from 'hickoryrelay-platform/InstanceList';

const SHORTEST_INTERVAL_MILLISECONDS = 5000;

/** The list has about 150 B for each instance, so this keeps its reading at 1.5 KB a second. */
const INTERVAL_MILLISECONDS_FOR_EACH = 100;

/** Announces this instance to the platform's list and reads the list. */
export class MembershipTask extends Task {
  override readonly name = 'instance list reader';

  private readonly membership: Membership;

  private readonly list: InstanceList;

  private readonly announcement: () => ListedInstance;

  private readonly random: RandomSource;

  private readonly log: ComponentLogger;

  constructor(
    membership: Membership,
    list: InstanceList,
    announcement: () => ListedInstance,
    random: RandomSource,
    log: ComponentLogger,
  ) {
    super();
    this.membership = membership;
    this.list = list;
    this.announcement = announcement;
    this.random = random;
    this.log = log;
  }

  protected override async *steps({
    clock,
    signal,
  }: TaskContext): AsyncGenerator<void, void, void> {
    for (;;) {
      await this.exchangeOnce();
      yield;
      const interval = Math.max(
        SHORTEST_INTERVAL_MILLISECONDS,
        this.membership.listedCount * INTERVAL_MILLISECONDS_FOR_EACH,
      );
      await clock.sleep(interval * (0.75 + this.random.fraction() / 2), signal);
    }
  }

  private async exchangeOnce(): Promise<void> {
    try {
      await this.list.announce(this.announcement());
      this.membership.updateListed(await this.list.list());
    } catch (error) {
      const reason = describeFailure(failureOf(error));
      this.log.warn('Could not exchange the list of instances.', { reason });
    }
  }
}
