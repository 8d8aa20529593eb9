import { z } from 'zod';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

/** Checks a condition on a received list that its schema cannot express. */
export function assertWellFormed(isWellFormed: boolean, reason: string): asserts isWellFormed {
  if (!isWellFormed) {
    throw new RelayError({ kind: FailureKind.ProtocolViolation, peer: '', reason });
  }
}

/** Splits a flat list into rows of the given length. */
export function splitIntoRows<Value>(
  flat: readonly Value[],
  length: number,
): readonly (readonly Value[])[] {
  assertWellFormed(flat.length % length === 0, 'a row is truncated');
  return Array.from({ length: flat.length / length }, (empty, row) =>
    flat.slice(row * length, (row + 1) * length),
  );
}

/** Schema of a byte array up to a length. */
export const byteString = (maximumLength: number) =>
  z.custom<Uint8Array>((value) => value instanceof Uint8Array && value.length <= maximumLength);
