import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

import { StoredItems } from './StoredItems.js';

import type { ItemReader } from './ItemReader.js';
import type { StoredItem } from './StoredItems.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';

/**
 * Age of the copy beyond which all items are read rather than the changes. The store keeps its history for a
 * limited time, and the renewals of all endpoints are changes.
 */
const MAXIMUM_CHANGES_MILLISECONDS = 5000;

/** Time between two reads of all items, so that the copy cannot differ from the store for good. */
const FULL_READ_MILLISECONDS = 30_000;

/** Dependencies of a replica. */
export interface ItemReplicaParts<Item extends StoredItem> {
  readonly reader: ItemReader<Item>;
  /** Selects the items that the instance needs. */
  readonly isNeeded: (key: string) => boolean;
  /** Includes suspensions, so that a resumed process does not understate the age of its copy. */
  readonly clock: Clock;
  readonly log: ComponentLogger;
}

/**
 * Keeps a copy of the items of a store current. Designed for stores with a few large items, such as a
 * configuration, beside many that are renewed all the time: it reads all items at first, then only what has changed.
 */
export class ItemReplica<Item extends StoredItem> {
  private readonly parts: ItemReplicaParts<Item>;

  private readonly copy: StoredItems<Item>;

  private lastRevision = StoreRevision.None;

  private readAtMilliseconds = Number.NEGATIVE_INFINITY;

  private fullReadAtMilliseconds = Number.NEGATIVE_INFINITY;

  constructor(parts: ItemReplicaParts<Item>) {
    this.parts = parts;
    this.copy = new StoredItems(parts.isNeeded);
  }

  /** The copy as of the last refresh that has succeeded. */
  get items(): Pick<StoredItems<Item>, 'all' | 'find' | 'revision'> {
    return this.copy;
  }

  /** Highest revision that any item of the copy may reflect. */
  get maximumRevision(): StoreRevision {
    return this.lastRevision;
  }

  /** Reads the store. If this fails, the copy is unchanged. */
  async refresh(): Promise<void> {
    const now = this.parts.clock.monotonicMilliseconds();
    if (!this.canReadChanges(now) || !(await this.readChanges())) {
      await this.readAll(now);
    }
    this.readAtMilliseconds = now;
  }

  private canReadChanges(now: number): boolean {
    return (
      now - this.readAtMilliseconds < MAXIMUM_CHANGES_MILLISECONDS &&
      now - this.fullReadAtMilliseconds < FULL_READ_MILLISECONDS
    );
  }

  /** Returns false if all items have to be read. */
  private async readChanges(): Promise<boolean> {
    const { reader, log } = this.parts;
    try {
      const changes = await reader.readChanges(this.copy.revision);
      if (changes !== undefined) {
        this.copy.apply(changes);
        this.lastRevision = changes.revision;
        return true;
      }
    } catch (error) {
      // A store that is discarding its history responds to range reads, but not to this call.
      log.info('Could not read the changes in the store; reading all items.', {
        reason: describeFailure(failureOf(error)),
      });
    }
    // Until a read of all items succeeds, an outage costs one call for each refresh.
    this.fullReadAtMilliseconds = Number.NEGATIVE_INFINITY;
    return false;
  }

  private async readAll(now: number): Promise<void> {
    const { items, revision, lastRevision } = await this.parts.reader.readAll();
    this.copy.replace(items, revision);
    this.lastRevision = lastRevision;
    this.fullReadAtMilliseconds = now;
  }
}
