import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

/** An item of the store, as far as its copy depends on it. */
export interface StoredItem {
  readonly key: string;
  /** Revision of the last change. */
  readonly revision: StoreRevision;
}

/** One change in the store: the item as written, or the key of a removed one. */
export type StoredChange<Item extends StoredItem> =
  { readonly type: 'put'; readonly item: Item } | { readonly type: 'delete'; readonly key: string };

/** All changes after one revision up to another, in their order. */
export interface StoredChanges<Item extends StoredItem> {
  readonly changes: readonly StoredChange<Item>[];
  /** Revision up to which the changes are complete. */
  readonly revision: StoreRevision;
}

/**
 * A copy of the items of a store that an instance needs. It is replaced as a whole or brought up to date by the
 * changes since its revision, so that items which have not changed are not transferred again.
 */
export class StoredItems<Item extends StoredItem> {
  private readonly isNeeded: (key: string) => boolean;

  private items = new Map<string, Item>();

  private currentRevision = StoreRevision.None;

  constructor(isNeeded: (key: string) => boolean) {
    this.isNeeded = isNeeded;
  }

  /** Revision up to which the copy is complete. */
  get revision(): StoreRevision {
    return this.currentRevision;
  }

  /** The items in the order in which their keys were added. */
  get all(): readonly Item[] {
    return [...this.items.values()];
  }

  find(key: string): Item | undefined {
    return this.items.get(key);
  }

  /** Replaces the copy by items that are complete up to a revision. They may reflect later changes. */
  replace(items: readonly Item[], revision: StoreRevision): void {
    this.items = new Map(
      items.filter(({ key }) => this.isNeeded(key)).map((item) => [item.key, item]),
    );
    this.currentRevision = revision;
  }

  /** Applies the changes after the revision of the copy. */
  apply({ changes, revision }: StoredChanges<Item>): void {
    for (const change of changes) {
      if (change.type === 'delete') {
        this.items.delete(change.key);
      } else if (this.isNeeded(change.item.key)) {
        this.items.set(change.item.key, change.item);
      }
    }
    this.currentRevision = revision;
  }
}
