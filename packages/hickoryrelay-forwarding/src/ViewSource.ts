import type { ViewSnapshot } from './ConfirmedView.js';
import type { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

/** The result of one read, with the store revisions that order it among other reads. */
export interface ViewReadResult {
  /** Records unchanged since the previous read are the same objects as in its snapshot. */
  readonly snapshot: ViewSnapshot;
  /** Store revision up to which the snapshot is complete. */
  readonly revision: StoreRevision;
  /** Highest store revision that any record of the snapshot may reflect. */
  readonly maximumRevision: StoreRevision;
  /** Time between the request of the snapshot to the store and the call of `read`. */
  readonly ageMilliseconds: number;
  /** Fraction of the refresh period after which the next read is due. */
  readonly periodFraction: number;
}

/** Reads configuration, endpoints and instances together. Implementations never cache a result. */
export abstract class ViewSource {
  /** @param mustBeFresh True if the store itself has to answer rather than another instance. */
  abstract read(mustBeFresh?: boolean): Promise<ViewReadResult>;
}
