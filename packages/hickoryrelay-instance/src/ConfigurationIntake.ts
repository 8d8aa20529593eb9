import { describeFailure, FailureKind } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';

import type { ConfigurationView } from './ConfigurationView.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { PartLogger } from 'hickoryrelay/Logger';
import type {
  Configuration,
  ConfigurationHead,
  ConfigurationStore,
} from 'hickoryrelay-platform/ConfigurationStore';

/** After a start without the platform, how long peers may answer before the newest is taken. */
const PEERS_MILLISECONDS = 2000;

/** Longest wait for a revision that gossip has named and no peer has delivered. */
const NAMED_REVISION_MILLISECONDS = 10_000;

/**
 * Brings configurations from the platform and from peers into force. After a start it holds them
 * back until the platform has answered, or else until peers had time to, so that a restarted
 * instance does not serve an older revision than the one it served before.
 */
export class ConfigurationIntake {
  private readonly view: ConfigurationView;

  private readonly store: ConfigurationStore;

  private readonly clock: Clock;

  private readonly log: PartLogger;

  private held: Configuration | undefined;

  private firstOfferMilliseconds: number | undefined;

  private isSettled = false;

  private hasPlatformFailed = false;

  private refused = 0;

  constructor(view: ConfigurationView, store: ConfigurationStore, clock: Clock, log: PartLogger) {
    this.view = view;
    this.store = store;
    this.clock = clock;
    this.log = log;
  }

  /** Number of configurations that were not whole or not valid. */
  get refusedCount(): number {
    return this.refused;
  }

  /** The newest configuration known, in force or held back. */
  get newest(): Configuration | undefined {
    return this.held ?? this.view.current;
  }

  get newestRevision(): number {
    return this.newest?.head.revision ?? 0;
  }

  /** Offers a configuration. Returns false if it was refused as not whole or not valid. */
  offer(configuration: Configuration): boolean {
    if (configuration.head.revision <= this.newestRevision) {
      return true;
    }
    try {
      this.view.assertValid(configuration);
      if (this.isSettled) {
        this.take(configuration);
      } else {
        this.held = configuration;
        this.firstOfferMilliseconds ??= this.clock.monotonicMilliseconds();
      }
      return true;
    } catch (error) {
      this.countRefusal(configuration.head.revision, error);
      return false;
    }
  }

  /** Asks the platform once and takes what is newer. Returns whether it answered. */
  async readPlatform(): Promise<boolean> {
    const askedMilliseconds = this.clock.monotonicMilliseconds();
    try {
      const { head } = await this.store.readHeadWithRevision();
      if (head !== undefined) {
        await this.fetch(head);
      }
      this.settle();
      if (head !== undefined) {
        this.view.confirm(head.revision, askedMilliseconds);
      }
      return true;
    } catch (error) {
      this.hasPlatformFailed = true;
      this.log.warn('Could not read the configuration.', {
        reason: describeFailure(failureOf(error)),
      });
      return false;
    }
  }

  /** Fetches what a head names from the platform, if it is newer. */
  async fetch(head: ConfigurationHead): Promise<void> {
    if (head.revision <= this.newestRevision) {
      return;
    }
    try {
      const configuration = await this.store.readChanges(head, this.newest);
      if (configuration !== undefined) {
        this.offer(configuration);
      }
    } catch (error) {
      if (failureOf(error).kind !== FailureKind.ProtocolViolation) {
        throw error;
      }
      this.countRefusal(head.revision, error);
    }
  }

  /** After a start without the platform: takes what peers gave, once they had time to answer. */
  settleWithoutPlatform(namedRevision: number): void {
    if (this.isSettled || !this.hasPlatformFailed || this.firstOfferMilliseconds === undefined) {
      return;
    }
    const waited = this.clock.monotonicMilliseconds() - this.firstOfferMilliseconds;
    const hasNamed = this.newestRevision >= namedRevision;
    if (waited >= (hasNamed ? PEERS_MILLISECONDS : NAMED_REVISION_MILLISECONDS)) {
      this.settle();
    }
  }

  private settle(): void {
    this.isSettled = true;
    if (this.held !== undefined) {
      const configuration = this.held;
      this.held = undefined;
      this.take(configuration);
    }
  }

  private take(configuration: Configuration): void {
    if (this.view.take(configuration)) {
      this.log.info('A configuration came into force.', { revision: this.view.revision });
    }
  }

  private countRefusal(revision: number, error: unknown): void {
    this.refused += 1;
    this.log.error('A configuration was refused.', {
      revision,
      reason: describeFailure(failureOf(error)),
    });
  }
}
