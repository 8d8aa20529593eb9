import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import type { ConfigurationIntake } from './ConfigurationIntake.js';
import type { Membership } from './Membership.js';
import type { PartLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { TaskContext } from 'hickoryrelay/Task';
import type { ConfigurationStore } from 'hickoryrelay-platform/ConfigurationStore';

const CHECK_MILLISECONDS = 1000;

/** A watch can go silent, so it is opened anew after this time. */
const WATCH_MILLISECONDS = 30_000;

/** Watches the configuration head while this instance is one of its zone's watchers. */
export class ConfigurationWatchTask extends Task {
  override readonly name = 'configuration watch';

  private readonly store: ConfigurationStore;

  private readonly intake: ConfigurationIntake;

  private readonly membership: Membership;

  private readonly random: RandomSource;

  private readonly log: PartLogger;

  constructor(
    store: ConfigurationStore,
    intake: ConfigurationIntake,
    membership: Membership,
    random: RandomSource,
    log: PartLogger,
  ) {
    super();
    this.store = store;
    this.intake = intake;
    this.membership = membership;
    this.random = random;
    this.log = log;
  }

  protected override async *steps(context: TaskContext): AsyncGenerator<void, void, void> {
    const { clock, signal } = context;
    for (;;) {
      if (this.membership.isConfigurationWatcher) {
        yield* this.watchOnce(context);
      }
      yield;
      await clock.sleep(CHECK_MILLISECONDS * (0.75 + this.random.fraction() / 2), signal);
    }
  }

  private async *watchOnce({ clock, signal }: TaskContext): AsyncGenerator<void, void, void> {
    const abort = new AbortController();
    const end = () => abort.abort();
    const lifetime = WATCH_MILLISECONDS * (0.75 + this.random.fraction() / 2);
    const cancelTimer = clock.schedule(lifetime, end);
    signal.addEventListener('abort', end, { once: true });
    try {
      const { head, storeRevision } = await this.store.readHeadWithRevision();
      if (head !== undefined) {
        await this.intake.fetch(head);
      }
      for await (const changed of this.store.watchHead(storeRevision, abort.signal)) {
        await this.intake.fetch(changed);
        yield;
      }
    } catch (error) {
      if (!abort.signal.aborted) {
        const reason = describeFailure(failureOf(error));
        this.log.debug('The watch of the configuration ended.', { reason });
      }
    } finally {
      cancelTimer();
      signal.removeEventListener('abort', end);
    }
  }
}
