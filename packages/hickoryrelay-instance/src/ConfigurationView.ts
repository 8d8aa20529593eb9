import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { hashString } from 'hickoryrelay/RendezvousUtils';
import { assembleDocument } from 'hickoryrelay-contract/ConfigurationBucket';
import { Declarations } from 'hickoryrelay-contract/Declarations';
import { matchesDigests } from 'hickoryrelay-platform/ConfigurationStore';

import type { Clock } from 'hickoryrelay/Clock';
import type { CleanUp } from 'hickoryrelay/LifecycleManager';
import type { Configuration } from 'hickoryrelay-platform/ConfigurationStore';

/** Called with each configuration that becomes active. */
export type ConfigurationObserver = (declarations: Declarations, revision: number) => void;

/** The active configuration of this instance. Its revision never decreases. */
export class ConfigurationView {
  private readonly clock: Clock;

  private readonly observers = new Set<ConfigurationObserver>();

  /** Validation results, cached since parsing a configuration of 1,100 accounts takes milliseconds. */
  private readonly validated = new WeakMap<Configuration, Declarations>();

  private configuration: Configuration | undefined;

  private activeDeclarations: Declarations | undefined;

  private contentTag = 0;

  private confirmedMilliseconds = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** The active revision; 0 before the first activation. */
  get revision(): number {
    return this.configuration?.head.revision ?? 0;
  }

  /** Hash of the content in force, by which peers compare it; 0 before the first activation. */
  get tag(): number {
    return this.contentTag;
  }

  get current(): Configuration | undefined {
    return this.configuration;
  }

  /** The active declarations. Throws `stale-view` before the first activation. */
  get declarations(): Declarations {
    if (this.activeDeclarations === undefined) {
      throw new RelayError({ kind: FailureKind.StaleView, ageSeconds: 0, limitSeconds: 0 });
    }
    return this.activeDeclarations;
  }

  /** Time since the active revision was last confirmed as current, in milliseconds. */
  get ageMilliseconds(): number {
    return this.clock.monotonicMilliseconds() - this.confirmedMilliseconds;
  }

  /** Returns the declarations of a configuration. Throws if it is incomplete, corrupt or invalid. */
  validate(configuration: Configuration): Declarations {
    if (!matchesDigests(configuration)) {
      throw new RelayError({
        kind: FailureKind.ProtocolViolation,
        peer: 'configuration source',
        reason: `revision ${configuration.head.revision} is incomplete or does not match its digests`,
      });
    }
    const declarations = new Declarations(assembleDocument(configuration.texts));
    this.validated.set(configuration, declarations);
    return declarations;
  }

  /**
   * Activates a configuration if it is newer than the active one. Returns whether it did. Throws if
   * the configuration is incomplete, corrupt or invalid.
   */
  activate(configuration: Configuration): boolean {
    if (configuration.head.revision <= this.revision) {
      return false;
    }
    const declarations = this.validated.get(configuration) ?? this.validate(configuration);
    this.configuration = configuration;
    this.contentTag = hashString(configuration.head.digests.join());
    this.activeDeclarations = declarations;
    for (const observer of this.observers) {
      observer(declarations, configuration.head.revision);
    }
    return true;
  }

  /**
   * Whether calls can be served. Calls with an access key are refused until the active revision
   * has been confirmed once.
   */
  get isUsable(): boolean {
    return this.revision > 0 && Number.isFinite(this.ageMilliseconds);
  }

  /**
   * Records that the revision was current at the given monotonic time. This must be a time before
   * the request was sent, so that the view is never taken for fresher than it is.
   */
  confirm(revision: number, requestedMilliseconds: number): void {
    if (revision === this.revision) {
      this.confirmedMilliseconds = Math.max(this.confirmedMilliseconds, requestedMilliseconds);
    }
  }

  subscribe(observer: ConfigurationObserver): CleanUp {
    this.observers.add(observer);
    return () => {
      this.observers.delete(observer);
    };
  }
}
