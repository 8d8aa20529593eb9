import type { Comparison, Operation, Transaction } from './KeyValueStore.js';
import type { StoreRevision } from './StoreRevision.js';

/** No key has this version, so a comparison with it never holds. */
const IMPOSSIBLE_VERSION = -1;

/** Returns the revision that a comparison names, if the service has assigned it. */
function comparedRevision(comparison: Comparison): StoreRevision | undefined {
  const isRevision =
    comparison.target === 'create-revision' || comparison.target === 'mod-revision';
  return isRevision && comparison.operand.number !== 0 ? comparison.operand : undefined;
}

function mapNested(
  operations: readonly Operation[],
  map: (transaction: Transaction) => Transaction,
): Operation[] {
  return operations.map((operation) =>
    operation.type === 'transaction'
      ? { ...operation, transaction: map(operation.transaction) }
      : operation,
  );
}

/**
 * Returns the transaction with each comparison of a revision of another era replaced by one that
 * never holds. For services that compare only the numbers of revisions.
 */
export function refuseOtherEras(transaction: Transaction, era: number): Transaction {
  const map = (nested: Transaction) => refuseOtherEras(nested, era);
  return {
    compare: transaction.compare.map((comparison) =>
      (comparedRevision(comparison)?.era ?? era) !== era
        ? { key: comparison.key, target: 'version', operand: IMPOSSIBLE_VERSION }
        : comparison,
    ),
    success: mapNested(transaction.success, map),
    failure: mapNested(transaction.failure, map),
  };
}

/** Returns whether the transaction compares a revision that the service has assigned. */
export function comparesRevisions({ compare, success, failure }: Transaction): boolean {
  return (
    compare.some((comparison) => comparedRevision(comparison) !== undefined) ||
    [...success, ...failure].some(
      (operation) => operation.type === 'transaction' && comparesRevisions(operation.transaction),
    )
  );
}
