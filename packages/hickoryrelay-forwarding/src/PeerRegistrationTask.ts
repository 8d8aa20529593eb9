import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import { PEERS_PREFIX } from './PeerRecord.js';

import type { PeerRecord } from './PeerRecord.js';
import type { PartLogger } from 'hickoryrelay/Logger';
import type { TaskContext } from 'hickoryrelay/Task';
import type { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';

/** An instance that is gone disappears from the list after this time. */
const LEASE_SECONDS = 5;

/** Three renewals fit into a lease. */
const RENEWAL_MILLISECONDS = 1500;

/** Keeps this instance in the list of instances while it lives. */
export class PeerRegistrationTask extends Task {
  override readonly name = 'peer registration';

  private readonly store: KeyValueStore;

  private readonly self: PeerRecord;

  private readonly log: PartLogger;

  private lease: string | undefined;

  constructor(store: KeyValueStore, self: PeerRecord, log: PartLogger) {
    super();
    this.store = store;
    this.self = self;
    this.log = log;
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    try {
      for (;;) {
        await this.keep();
        yield;
        await clock.sleep(RENEWAL_MILLISECONDS, signal);
      }
    } finally {
      if (this.lease !== undefined) {
        await this.store.revokeLease(this.lease).catch((error: unknown) => {
          this.warn('The registration was not removed; it will expire.', error);
        });
      }
    }
  }

  private async keep(): Promise<void> {
    try {
      if (this.lease !== undefined && (await this.store.keepLeaseAlive(this.lease)) > 0) {
        return;
      }
      const { identifier } = await this.store.grantLease(LEASE_SECONDS);
      await this.store.commit({
        compare: [],
        success: [
          {
            type: 'put',
            key: `${PEERS_PREFIX}${this.self.instance}`,
            value: JSON.stringify(this.self),
            lease: identifier,
          },
        ],
        failure: [],
      });
      this.lease = identifier;
    } catch (error) {
      this.warn('The registration was not renewed.', error);
    }
  }

  private warn(sentence: string, error: unknown): void {
    this.log.warn(sentence, { reason: describeFailure(failureOf(error)) });
  }
}
