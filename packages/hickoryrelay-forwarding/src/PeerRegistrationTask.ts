import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

import { PEER_LEASE_MILLISECONDS, PEERS_PREFIX } from './PeerRecord.js';

import type { PeerRecord } from './PeerRecord.js';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { TaskContext } from 'hickoryrelay/Task';
import type { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';

/** Allows three renewals within a lease. */
const RENEWAL_PERIOD_MILLISECONDS = 1500;

const MILLISECONDS_PER_SECOND = 1000;

/** Registers this instance under a lease and renews the lease while the instance runs. */
export class PeerRegistrationTask extends Task {
  override readonly name = 'peer registration';

  private readonly store: KeyValueStore;

  private readonly self: PeerRecord;

  private readonly log: ComponentLogger;

  private lease: string | undefined;

  constructor(store: KeyValueStore, self: PeerRecord, log: ComponentLogger) {
    super();
    this.store = store;
    this.self = self;
    this.log = log;
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    try {
      for (;;) {
        await this.renew();
        yield;
        await clock.sleep(RENEWAL_PERIOD_MILLISECONDS, signal);
      }
    } finally {
      if (this.lease !== undefined) {
        await this.store.revokeLease(this.lease).catch((error: unknown) => {
          this.warn('Could not remove the registration; it will expire.', error);
        });
      }
    }
  }

  private async renew(): Promise<void> {
    try {
      if (this.lease !== undefined && (await this.store.keepLeaseAlive(this.lease)) > 0) {
        return;
      }
      const { identifier } = await this.store.grantLease(
        PEER_LEASE_MILLISECONDS / MILLISECONDS_PER_SECOND,
      );
      if (await this.register(identifier)) {
        this.lease = identifier;
      }
    } catch (error) {
      this.warn('Could not renew the registration.', error);
    }
  }

  /**
   * Writes the registration if it is still the one that was read, so that a write which takes effect
   * late does not replace a newer one. Returns false if it has changed meanwhile.
   */
  private async register(lease: string): Promise<boolean> {
    const key = `${PEERS_PREFIX}${this.self.instance}`;
    const stored = await this.store.get(key);
    const operand = stored?.modRevision ?? StoreRevision.None;
    const { succeeded } = await this.store.commit({
      compare: [{ key, target: 'mod-revision', operand }],
      success: [{ type: 'put', key, value: JSON.stringify(this.self), lease }],
      failure: [],
    });
    return succeeded;
  }

  private warn(message: string, error: unknown): void {
    this.log.warn(message, { reason: describeFailure(failureOf(error)) });
  }
}
