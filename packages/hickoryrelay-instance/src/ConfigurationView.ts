import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { documentFrom } from 'hickoryrelay-contract/ConfigurationBucket';
import { Declarations } from 'hickoryrelay-contract/Declarations';
import { isWhole } from 'hickoryrelay-platform/ConfigurationStore';

import type { Clock } from 'hickoryrelay/Clock';
import type { CleanUp } from 'hickoryrelay/LifecycleManager';
import type { Configuration } from 'hickoryrelay-platform/ConfigurationStore';

/** Told of each configuration that comes into force. */
export type ConfigurationObserver = (declarations: Declarations, revision: number) => void;

/** The configuration in force at this instance. Its revision only grows. */
export class ConfigurationView {
  private readonly clock: Clock;

  private readonly observers = new Set<ConfigurationObserver>();

  /** Results of validation, since reading a configuration of 1,100 accounts takes milliseconds. */
  private readonly validated = new WeakMap<Configuration, Declarations>();

  private configuration: Configuration | undefined;

  private snapshot: Declarations | undefined;

  private confirmedMilliseconds = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Revision in force, 0 before the first. */
  get revision(): number {
    return this.configuration?.head.revision ?? 0;
  }

  get current(): Configuration | undefined {
    return this.configuration;
  }

  /** The declarations in force. Throws `stale-view` before the first are known. */
  get declarations(): Declarations {
    if (this.snapshot === undefined) {
      throw new RelayError({ kind: FailureKind.StaleView, ageSeconds: 0, limitSeconds: 0 });
    }
    return this.snapshot;
  }

  /** Time since the view was last known to be current, in milliseconds. */
  get ageMilliseconds(): number {
    return this.clock.monotonicMilliseconds() - this.confirmedMilliseconds;
  }

  /** Throws if the configuration is not whole or not valid; returns its declarations. */
  assertValid(configuration: Configuration): Declarations {
    if (!isWhole(configuration)) {
      throw new RelayError({
        kind: FailureKind.ProtocolViolation,
        peer: 'configuration source',
        reason: `revision ${configuration.head.revision} is not whole`,
      });
    }
    const declarations = new Declarations(documentFrom(configuration.texts));
    this.validated.set(configuration, declarations);
    return declarations;
  }

  /**
   * Puts a configuration into force if it is newer than the present one. Throws if it is not whole
   * or not valid. Returns whether it came into force.
   */
  take(configuration: Configuration): boolean {
    if (configuration.head.revision <= this.revision) {
      return false;
    }
    const declarations = this.validated.get(configuration) ?? this.assertValid(configuration);
    this.configuration = configuration;
    this.snapshot = declarations;
    for (const observer of this.observers) {
      observer(declarations, configuration.head.revision);
    }
    return true;
  }

  /** Whether calls can be served: keyed ones are refused until the view is first confirmed. */
  get isUsable(): boolean {
    return this.revision > 0 && Number.isFinite(this.ageMilliseconds);
  }

  /**
   * Records that the revision was current at the given time on the monotonic clock, which must be
   * from before the question was asked.
   */
  confirm(revision: number, askedMilliseconds: number): void {
    if (revision === this.revision) {
      this.confirmedMilliseconds = Math.max(this.confirmedMilliseconds, askedMilliseconds);
    }
  }

  subscribe(observer: ConfigurationObserver): CleanUp {
    this.observers.add(observer);
    return () => {
      this.observers.delete(observer);
    };
  }
}
