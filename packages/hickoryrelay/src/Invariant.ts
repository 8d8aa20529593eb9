import { FailureKind } from './Failure.js';
import { RelayError } from './RelayError.js';

/** Throws `invariant-violated` unless the condition holds. The message should name the values. */
export function invariant(condition: unknown, message: string): asserts condition {
  if (!condition) {
    throw new RelayError({ kind: FailureKind.InvariantViolated, message });
  }
}
