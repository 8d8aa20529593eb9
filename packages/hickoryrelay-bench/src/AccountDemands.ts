import { ENGINE_COUNT } from './PolicySimulation.js';
import type { AccountDemand } from './PolicySimulation.js';

/** Engine time that the whole fleet provides per second. */
export const FLEET_MILLISECONDS_PER_SECOND = ENGINE_COUNT * 1000;

export const FLOODING_ACCOUNT = 'account-7';
export const HEAVY_ACCOUNT = 'account-heavy';
export const LIGHT_ACCOUNT = 'account-light';

/** Demands of eight accounts, of which two demand three times as much as each of the others. */
export function unevenDemands(load: number): AccountDemand[] {
  return Array.from({ length: 8 }, (empty, index) => ({
    account: `account-${index}`,
    costPerSecond: (FLEET_MILLISECONDS_PER_SECOND * load * (index < 2 ? 3 : 1)) / 12,
  }));
}

/**
 * Demands of eight accounts: one demands the whole fleet, two demand 1.5 times their equal share
 * and the others 0.9 times.
 */
export function floodDemands(): AccountDemand[] {
  return Array.from({ length: 8 }, (empty, index) => {
    const account = `account-${index}`;
    const demandFactor = index < 2 ? 1.5 : 0.9;
    return {
      account,
      costPerSecond:
        (FLEET_MILLISECONDS_PER_SECOND * (account === FLOODING_ACCOUNT ? 8 : demandFactor)) / 8,
    };
  });
}

/** One account demands twice the fleet; another demands `lightShare` of it, if not 0. */
export function heavyDemands(lightShare: number): AccountDemand[] {
  const heavy = { account: HEAVY_ACCOUNT, costPerSecond: 2 * FLEET_MILLISECONDS_PER_SECOND };
  return lightShare > 0
    ? [heavy, { account: LIGHT_ACCOUNT, costPerSecond: lightShare * FLEET_MILLISECONDS_PER_SECOND }]
    : [heavy];
}
