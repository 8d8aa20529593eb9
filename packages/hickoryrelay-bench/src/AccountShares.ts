import type { CallOutcome } from './PolicyModel.js';

/** Max-min fair shares of what was served, by demand. */
function fairShares(demands: ReadonlyMap<string, number>, served: number): Map<string, number> {
  const shares = new Map<string, number>();
  let left = served;
  const byDemand = [...demands].sort((one, other) => one[1] - other[1]);
  for (const [index, [account, demand]] of byDemand.entries()) {
    const given = Math.min(demand, left / (byDemand.length - index));
    shares.set(account, given);
    left -= given;
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

export function worstShare(outcomes: readonly CallOutcome[]): { account: string; ratio: number } {
  const served = costByAccount(outcomes.filter(({ isComplete }) => isComplete));
  const total = [...served.values()].reduce((sum, cost) => sum + cost, 0);
  let worst = { account: '', ratio: Number.POSITIVE_INFINITY };
  for (const [account, fair] of fairShares(costByAccount(outcomes), total)) {
    const ratio = (served.get(account) ?? 0) / fair;
    if (ratio < worst.ratio) {
      worst = { account, ratio };
    }
  }
  return worst;
}

/** Arrivals of the last seconds cannot complete within the run and are left out. */
export function counted(outcomes: readonly CallOutcome[], seconds: number): CallOutcome[] {
  return outcomes.filter(({ arrivalSeconds }) => arrivalSeconds < seconds);
}
