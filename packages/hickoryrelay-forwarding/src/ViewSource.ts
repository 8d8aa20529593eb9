import type { ViewReading } from './ConfirmedView.js';

/** A reading with what is needed to compare it with others. */
export interface StoreReading {
  /** Entries that did not change since the last reading are the same objects as there. */
  readonly reading: ViewReading;
  /** Revision of the store that the whole reading shows at least. */
  readonly revision: number;
  /** Latest revision of which the reading may show parts. */
  readonly lastRevision: number;
  /** How long before the call of `read` the reading was asked for, in milliseconds. */
  readonly ageMilliseconds: number;
  /** Part of the usual period after which the next reading is due. */
  readonly periodPart: number;
}

/** Reads configuration, endpoints and instances in one step. An override never caches an answer. */
export abstract class ViewSource {
  abstract read(): Promise<StoreReading>;
}
