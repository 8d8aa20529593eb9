import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { digestBucket } from 'hickoryrelay-contract/ConfigurationBucket';
import { isSameHead, PutBackOutcome } from 'hickoryrelay-platform/ConfigurationStore';

import type { ConfigurationView } from './ConfigurationView.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { CleanUp } from 'hickoryrelay/LifecycleManager';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type {
  Configuration,
  ConfigurationHead,
  ConfigurationStore,
} from 'hickoryrelay-platform/ConfigurationStore';

/** Covers 14 hours at 7,100 changes a day. */
const MAXIMUM_KNOWN_REVISIONS = 4096;

function identityOf({ digests }: ConfigurationHead): string {
  return digestBucket(digests.join());
}

/** Collaborators of a configuration recovery. */
export interface ConfigurationRecoveryParts {
  readonly view: ConfigurationView;
  readonly store: ConfigurationStore;
  readonly clock: Clock;
  readonly log: ComponentLogger;
  /** Name of this instance, for the history. */
  readonly author: string;
}

/**
 * Puts the configuration in force back into a store that has been restored from an older copy. It
 * replaces only a configuration that was in force here before, so never one that an operator wrote
 * after the restore. All instances try; the store accepts one of them.
 */
export class ConfigurationRecovery {
  private readonly parts: ConfigurationRecoveryParts;

  /** Identities of the configurations that were in force here, by revision. */
  private readonly known = new Map<number, string>();

  /** The last stored head that was logged as a conflict. */
  private loggedConflict: ConfigurationHead | undefined;

  constructor(parts: ConfigurationRecoveryParts) {
    this.parts = parts;
  }

  /** Records each configuration that comes into force. Returns the function that ends it. */
  observe(): CleanUp {
    const { view } = this.parts;
    return view.subscribe(() => {
      if (view.current !== undefined) {
        this.record(view.current.head);
      }
    });
  }

  /**
   * Compares the stored head with the configuration that was in force before the head was requested,
   * and puts the latter back if the store has forgotten it.
   */
  async compare(
    stored: ConfigurationHead | undefined,
    inForce: Configuration | undefined,
  ): Promise<void> {
    const isNewer = (stored?.revision ?? 0) > (inForce?.head.revision ?? 0);
    if (inForce === undefined || isNewer) {
      return;
    }
    if (this.isForgotten(stored, inForce)) {
      await this.putBack(inForce);
    } else if (stored !== undefined && !isSameHead(stored, inForce.head)) {
      this.logConflict(stored, inForce);
    }
  }

  private record(head: ConfigurationHead): void {
    this.known.set(head.revision, identityOf(head));
    const [oldest] = this.known.keys();
    if (this.known.size > MAXIMUM_KNOWN_REVISIONS && oldest !== undefined) {
      this.known.delete(oldest);
    }
  }

  /** Returns whether the stored configuration is one that was in force here before the other one. */
  private isForgotten(stored: ConfigurationHead | undefined, { head }: Configuration): boolean {
    return (
      stored === undefined ||
      (stored.revision < head.revision && this.known.get(stored.revision) === identityOf(stored))
    );
  }

  private async putBack(inForce: Configuration): Promise<void> {
    const { store, clock, log, author } = this.parts;
    const { revision } = inForce.head;
    try {
      const outcome = await store.putBack(inForce, (head) => this.isForgotten(head, inForce), {
        author,
        summary: 'put back after a restore of the store',
        wallMilliseconds: clock.wallMilliseconds(),
      });
      if (outcome === PutBackOutcome.Written) {
        log.warn('The configuration in force was put back into the store.', { revision });
      }
    } catch (error) {
      const reason = describeFailure(failureOf(error));
      log.warn('Failed to put the configuration in force back.', { revision, reason });
    }
  }

  private logConflict(stored: ConfigurationHead, inForce: Configuration): void {
    if (this.loggedConflict !== undefined && isSameHead(this.loggedConflict, stored)) {
      return;
    }
    this.loggedConflict = stored;
    this.parts.log.error('The stored configuration conflicts with the one in force.', {
      revision: inForce.head.revision,
      storedRevision: stored.revision,
    });
  }
}
