import { describeFailure, FailureKind } from './Failure.js';

import type { Failure } from './Failure.js';

/** The only error class that hickoryrelay throws. Error handling depends on `failure.kind`. */
export class RelayError extends Error {
  readonly failure: Failure;

  constructor(failure: Failure, cause?: unknown) {
    super(describeFailure(failure), cause === undefined ? undefined : { cause });
    this.name = 'RelayError';
    this.failure = failure;
  }
}

/** Returns the failure of a thrown value. Errors of other classes become `invariant-violated`. */
export function failureOf(error: unknown): Failure {
  if (error instanceof RelayError) {
    return error.failure;
  }
  const message = error instanceof Error ? error.message : String(error);
  return { kind: FailureKind.InvariantViolated, message };
}

/** Returns whether a thrown value is a `RelayError` of the given kind. */
export function hasFailureKind(error: unknown, kind: FailureKind): boolean {
  return error instanceof RelayError && error.failure.kind === kind;
}
