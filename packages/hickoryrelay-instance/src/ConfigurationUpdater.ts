import { describeFailure, FailureKind } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { isSameHead } from 'hickoryrelay-platform/ConfigurationStore';

import type { ConfigurationRecovery } from './ConfigurationRecovery.js';
import type { ConfigurationView } from './ConfigurationView.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type {
  Configuration,
  ConfigurationHead,
  ConfigurationStore,
} from 'hickoryrelay-platform/ConfigurationStore';

/**
 * If the platform is unreachable at start, how long to collect configurations from peers before
 * the newest is activated.
 */
const PEER_WAIT_MILLISECONDS = 2000;

/** Maximum wait for a revision that was announced by gossip but not yet delivered by any peer. */
const ANNOUNCED_REVISION_WAIT_MILLISECONDS = 10_000;

/**
 * Validates configurations from the platform and from peers and activates the newest. At start,
 * activation waits for the first response of the platform or, if the platform is unreachable, until
 * peers have had time to respond. Otherwise a restarted instance could serve an older revision
 * than before the restart.
 */
export class ConfigurationUpdater {
  private readonly view: ConfigurationView;

  private readonly store: ConfigurationStore;

  private readonly clock: Clock;

  private readonly log: ComponentLogger;

  private readonly recovery: ConfigurationRecovery;

  private pending: Configuration | undefined;

  private firstSubmittedMilliseconds: number | undefined;

  private isStartupComplete = false;

  private hasPlatformFailed = false;

  private refused = 0;

  constructor(
    view: ConfigurationView,
    store: ConfigurationStore,
    clock: Clock,
    log: ComponentLogger,
    recovery: ConfigurationRecovery,
  ) {
    this.view = view;
    this.store = store;
    this.clock = clock;
    this.log = log;
    this.recovery = recovery;
  }

  /** Number of configurations refused as incomplete, corrupt or invalid. */
  get refusedCount(): number {
    return this.refused;
  }

  /** The newest configuration known, whether active or still pending. */
  get newest(): Configuration | undefined {
    return this.pending ?? this.view.current;
  }

  get newestRevision(): number {
    return this.newest?.head.revision ?? 0;
  }

  /**
   * Activates a configuration if it is newer than the newest known, or holds it until startup is
   * complete. Returns false if it was refused as incomplete, corrupt or invalid.
   */
  submit(configuration: Configuration): boolean {
    if (configuration.head.revision <= this.newestRevision) {
      return true;
    }
    try {
      this.view.validate(configuration);
      if (this.isStartupComplete) {
        this.activate(configuration);
      } else {
        this.pending = configuration;
        this.firstSubmittedMilliseconds ??= this.clock.monotonicMilliseconds();
      }
      return true;
    } catch (error) {
      this.countRefusal(configuration.head.revision, error);
      return false;
    }
  }

  /**
   * Reads the head from the platform once and fetches the configuration if it is newer. If the store
   * has forgotten the configuration in force, puts it back. Returns whether the platform responded.
   */
  async readPlatform(): Promise<boolean> {
    const requestedMilliseconds = this.clock.monotonicMilliseconds();
    const inForce = this.view.current;
    try {
      const { head } = await this.store.readHeadWithRevision();
      if (head !== undefined) {
        await this.fetch(head);
      }
      this.completeStartup();
      const { current } = this.view;
      if (head !== undefined && current !== undefined && isSameHead(head, current.head)) {
        this.view.confirm(head.revision, requestedMilliseconds);
      }
      await this.recovery.compare(head, inForce);
      return true;
    } catch (error) {
      this.hasPlatformFailed = true;
      this.log.warn('Failed to read the configuration from the platform.', {
        reason: describeFailure(failureOf(error)),
      });
      return false;
    }
  }

  /** Fetches the configuration of a head from the platform if it is newer than the newest known. */
  async fetch(head: ConfigurationHead): Promise<void> {
    if (head.revision <= this.newestRevision) {
      return;
    }
    try {
      const configuration = await this.store.readChanges(head, this.newest);
      if (configuration !== undefined) {
        this.submit(configuration);
      }
    } catch (error) {
      if (failureOf(error).kind !== FailureKind.ProtocolViolation) {
        throw error;
      }
      this.countRefusal(head.revision, error);
    }
  }

  /**
   * Activates the newest configuration received from peers if the platform has been unreachable
   * since the start and the peers have had time to respond.
   */
  completeStartupWithoutPlatform(announcedRevision: number): void {
    if (
      this.isStartupComplete ||
      !this.hasPlatformFailed ||
      this.firstSubmittedMilliseconds === undefined
    ) {
      return;
    }
    const waitedMilliseconds = this.clock.monotonicMilliseconds() - this.firstSubmittedMilliseconds;
    const hasAnnouncedRevision = this.newestRevision >= announcedRevision;
    if (
      waitedMilliseconds >=
      (hasAnnouncedRevision ? PEER_WAIT_MILLISECONDS : ANNOUNCED_REVISION_WAIT_MILLISECONDS)
    ) {
      this.completeStartup();
    }
  }

  private completeStartup(): void {
    this.isStartupComplete = true;
    if (this.pending !== undefined) {
      const configuration = this.pending;
      this.pending = undefined;
      this.activate(configuration);
    }
  }

  private activate(configuration: Configuration): void {
    if (this.view.activate(configuration)) {
      this.log.info('Activated a new configuration.', { revision: this.view.revision });
    }
  }

  private countRefusal(revision: number, error: unknown): void {
    this.refused += 1;
    this.log.error('Refused a configuration.', {
      revision,
      reason: describeFailure(failureOf(error)),
    });
  }
}
