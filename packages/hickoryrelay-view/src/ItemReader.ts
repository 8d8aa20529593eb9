import type { StoredChanges, StoredItem } from './StoredItems.js';
import type { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

/** All items of a store, which may have changed while they were read. */
export interface ItemRange<Item extends StoredItem> {
  readonly items: readonly Item[];
  /** Revision up to which the items are complete. */
  readonly revision: StoreRevision;
  /** Highest revision that any of them may reflect. */
  readonly lastRevision: StoreRevision;
}

/** Reads the items of a store. Both calls fail if the store does not respond in time. */
export abstract class ItemReader<Item extends StoredItem> {
  abstract readAll(): Promise<ItemRange<Item>>;

  /**
   * Reads the changes after a revision, without waiting for one. Undefined if the store does not have all of
   * them any more, or was restored since.
   */
  abstract readChanges(since: StoreRevision): Promise<StoredChanges<Item> | undefined>;
}
