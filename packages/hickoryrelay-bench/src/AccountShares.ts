import type { CallOutcome } from './PolicySimulation.js';

/** Divides the served cost among accounts by max-min fairness. */
function maxMinFairShares(
  demands: ReadonlyMap<string, number>,
  served: number,
): Map<string, number> {
  const shares = new Map<string, number>();
  let remaining = served;
  const byDemand = [...demands].sort((one, other) => one[1] - other[1]);
  for (const [index, [account, demand]] of byDemand.entries()) {
    const allocated = Math.min(demand, remaining / (byDemand.length - index));
    shares.set(account, allocated);
    remaining -= allocated;
  }
  return shares;
}

export function costByAccount(outcomes: readonly CallOutcome[]): Map<string, number> {
  const costs = new Map<string, number>();
  for (const { account, cost } of outcomes) {
    costs.set(account, (costs.get(account) ?? 0) + cost);
  }
  return costs;
}

/** Returns the account with the lowest ratio of served cost to its max-min fair share. */
export function findWorstServedAccount(outcomes: readonly CallOutcome[]): {
  account: string;
  ratio: number;
} {
  const served = costByAccount(outcomes.filter(({ isComplete }) => isComplete));
  const total = [...served.values()].reduce((sum, cost) => sum + cost, 0);
  let worst = { account: '', ratio: Number.POSITIVE_INFINITY };
  for (const [account, fairCost] of maxMinFairShares(costByAccount(outcomes), total)) {
    const ratio = (served.get(account) ?? 0) / fairCost;
    if (ratio < worst.ratio) {
      worst = { account, ratio };
    }
  }
  return worst;
}

/** Excludes calls that arrive too late to complete within the run. */
export function arrivedBefore(outcomes: readonly CallOutcome[], endSeconds: number): CallOutcome[] {
  return outcomes.filter(({ arrivalSeconds }) => arrivalSeconds < endSeconds);
}
