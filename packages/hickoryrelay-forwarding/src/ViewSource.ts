import type { ViewSnapshot } from './ConfirmedView.js';

/** The result of one read, with the store revisions that order it among other reads. */
export interface ViewReadResult {
  /** Records unchanged since the previous read are the same objects as in its snapshot. */
  readonly snapshot: ViewSnapshot;
  /** Store revision that every record of the snapshot is at or beyond. */
  readonly revision: number;
  /** Highest store revision that any record of the snapshot may reflect. */
  readonly maximumRevision: number;
  /**
   * How long before the call of `read` the snapshot was requested from the store, in milliseconds.
   */
  readonly ageMilliseconds: number;
  /** Fraction of the refresh period after which the next read is due. */
  readonly periodFraction: number;
}

/** Reads configuration, endpoints and instances together. Implementations never cache a result. */
export abstract class ViewSource {
  abstract read(): Promise<ViewReadResult>;
}
