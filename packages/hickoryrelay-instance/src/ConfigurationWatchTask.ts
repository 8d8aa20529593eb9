import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import type { ConfigurationUpdater } from './ConfigurationUpdater.js';
import type { Membership } from './Membership.js';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { TaskContext } from 'hickoryrelay/Task';
import type { ConfigurationStore } from 'hickoryrelay-platform/ConfigurationStore';

const ROLE_CHECK_INTERVAL_MILLISECONDS = 1000;

/** A watch is reopened after this time, because it can stall without an error. */
const WATCH_LIFETIME_MILLISECONDS = 30_000;

/** Watches the configuration head on the platform while this instance is a watcher of its zone. */
export class ConfigurationWatchTask extends Task {
  override readonly name = 'configuration watch';

  private readonly store: ConfigurationStore;

  private readonly updater: ConfigurationUpdater;

  private readonly membership: Membership;

  private readonly random: RandomSource;

  private readonly log: ComponentLogger;

  constructor(
    store: ConfigurationStore,
    updater: ConfigurationUpdater,
    membership: Membership,
    random: RandomSource,
    log: ComponentLogger,
  ) {
    super();
    this.store = store;
    this.updater = updater;
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
      await clock.sleep(
        ROLE_CHECK_INTERVAL_MILLISECONDS * (0.75 + this.random.fraction() / 2),
        signal,
      );
    }
  }

  private async *watchOnce({ clock, signal }: TaskContext): AsyncGenerator<void, void, void> {
    const abort = new AbortController();
    const endWatch = () => abort.abort();
    const lifetimeMilliseconds = WATCH_LIFETIME_MILLISECONDS * (0.75 + this.random.fraction() / 2);
    const cancelTimer = clock.schedule(lifetimeMilliseconds, endWatch);
    signal.addEventListener('abort', endWatch, { once: true });
    try {
      const { head, storeRevision } = await this.store.readHeadWithRevision();
      if (head !== undefined) {
        await this.updater.fetch(head);
      }
      for await (const changed of this.store.watchHead(storeRevision, abort.signal)) {
        await this.updater.fetch(changed);
        yield;
      }
    } catch (error) {
      if (!abort.signal.aborted) {
        const reason = describeFailure(failureOf(error));
        this.log.debug('The configuration watch ended.', { reason });
      }
    } finally {
      cancelTimer();
      signal.removeEventListener('abort', endWatch);
    }
  }
}
