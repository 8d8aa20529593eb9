import { ENGINE_COUNT } from './PolicyModel.js';
import type { AccountDemand } from './PolicyModel.js';

/** Engine time of the whole fleet, in milliseconds a second. */
export const CAPACITY = ENGINE_COUNT * 1000;

export const FLOODING_ACCOUNT = 'account-7';
export const HEAVY_ACCOUNT = 'account-heavy';
export const LIGHT_ACCOUNT = 'account-light';

/** Two large accounts with three times the demand of the other six. */
export function demandsAt(load: number): AccountDemand[] {
  return Array.from({ length: 8 }, (empty, index) => ({
    account: `account-${index}`,
    costPerSecond: (CAPACITY * load * (index < 2 ? 3 : 1)) / 12,
  }));
}

/** One account asks for the whole fleet; two ask for more, the others for less than a share. */
export function floodDemands(): AccountDemand[] {
  return Array.from({ length: 8 }, (empty, index) => {
    const account = `account-${index}`;
    const part = index < 2 ? 1.5 : 0.9;
    return {
      account,
      costPerSecond: (CAPACITY * (account === FLOODING_ACCOUNT ? 8 : part)) / 8,
    };
  });
}

/** One account asks for twice the fleet, beside one that asks for the given part of it, if any. */
export function heavyDemands(light: number): AccountDemand[] {
  const heavy = { account: HEAVY_ACCOUNT, costPerSecond: 2 * CAPACITY };
  return light > 0 ? [heavy, { account: LIGHT_ACCOUNT, costPerSecond: light * CAPACITY }] : [heavy];
}
