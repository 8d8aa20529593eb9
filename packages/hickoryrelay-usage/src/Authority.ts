import type { Comparison } from 'hickoryrelay-platform/KeyValueStore';

/** The authority over a zone, as this instance may hold it. */
export abstract class Authority {
  abstract get zone(): string;

  /** Grows with each holder. Only valid while the authority is held. */
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
