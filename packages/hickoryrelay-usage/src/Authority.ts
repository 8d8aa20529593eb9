import type { Comparison } from 'hickoryrelay-platform/KeyValueStore';

/** The authority over a zone, as seen by this instance. */
export abstract class Authority {
  abstract get zone(): string;

  /** Increases with each term. Valid only while the authority is held. */
  abstract get fencingNumber(): number;

  /** True while this instance holds the authority by its own monotonic clock. */
  abstract get isHeld(): boolean;

  /** Start of the current term on the monotonic clock, in milliseconds. */
  abstract get heldSinceMilliseconds(): number;

  /** Throws `authority-lost` unless the authority is held now. */
  abstract assertHeld(): void;

  /** The condition that makes a transaction fail once another instance holds the authority. */
  abstract comparison(): Comparison;
}
