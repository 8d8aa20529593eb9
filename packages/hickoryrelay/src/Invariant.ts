import { FailureKind } from './Failure.js';
import { RelayError } from './RelayError.js';

/** Throws an `invariant-violated` error unless the condition holds. The message names the values. */
export function invariant(condition: unknown, message: string): asserts condition {
  if (!condition) {
    throw new RelayError({ kind: FailureKind.InvariantViolated, message });
  }
}
