import { Task } from 'hickoryrelay/Task';
import { failureOf } from 'hickoryrelay/RelayError';
import { describeFailure } from 'hickoryrelay/Failure';

import type { PartLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { TaskContext } from 'hickoryrelay/Task';
import type { ConfigurationStore } from 'hickoryrelay-platform/ConfigurationStore';
import type { ConfigurationView } from './ConfigurationView.js';

const READ_INTERVAL_MILLISECONDS = 5000;
const FIRST_READ_INTERVAL_MILLISECONDS = 250;

/** Reads the configuration head periodically, because a watch can go silent. */
export class ConfigurationTask extends Task {
  override readonly name = 'configuration reader';

  private readonly store: ConfigurationStore;

  private readonly view: ConfigurationView;

  private readonly random: RandomSource;

  private readonly log: PartLogger;

  constructor(
    store: ConfigurationStore,
    view: ConfigurationView,
    random: RandomSource,
    log: PartLogger,
  ) {
    super();
    this.store = store;
    this.view = view;
    this.random = random;
    this.log = log;
  }

  protected override async *steps({
    clock,
    signal,
  }: TaskContext): AsyncGenerator<void, void, void> {
    for (;;) {
      await this.readOnce(clock.monotonicMilliseconds());
      yield;
      await clock.sleep(this.nextDelayMilliseconds(), signal);
    }
  }

  private async readOnce(askedMilliseconds: number): Promise<void> {
    try {
      const head = await this.store.readHead();
      if (head !== undefined && head.revision > this.view.revision) {
        await this.takeWhole();
      }
      if (head !== undefined) {
        this.view.confirm(head.revision, askedMilliseconds);
      }
    } catch (error) {
      this.log.warn('Could not read the configuration.', {
        reason: describeFailure(failureOf(error)),
      });
    }
  }

  private async takeWhole(): Promise<void> {
    const configuration = await this.store.read();
    if (configuration !== undefined && this.view.take(configuration)) {
      this.log.info('A configuration came into force.', { revision: this.view.revision });
    }
  }

  private nextDelayMilliseconds(): number {
    const interval =
      this.view.revision === 0 ? FIRST_READ_INTERVAL_MILLISECONDS : READ_INTERVAL_MILLISECONDS;
    return interval * (0.75 + this.random.fraction() / 2);
  }
}
