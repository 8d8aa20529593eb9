import { describe, expect, it } from 'vitest';

import {
  DESIGN_BOUNDS,
  DESIGN_LIMIT,
  USUAL_NETWORK,
  designDemand,
  schemesOf,
  seededRandom,
  simulate,
} from './QuotaSimulation.js';

import type { SchemeOutcome } from './QuotaSimulation.js';

const MILLISECONDS = 25_000;

interface Scenario {
  readonly instances: number;
  readonly multiple: number;
  readonly isSkewed: boolean;
  readonly isConforming?: boolean;
}

/** Runs a demand with the shared quota, an equal division and a central counter. */
function compare({ instances, multiple, isSkewed, isConforming = false }: Scenario) {
  const options = {
    limit: DESIGN_LIMIT,
    bounds: DESIGN_BOUNDS,
    instances,
    zones: 3,
    network: USUAL_NETWORK,
    random: seededRandom(7),
  };
  const outcomes = schemesOf(options).map(({ scheme }) =>
    simulate({
      scheme,
      demand: designDemand(multiple, instances, isSkewed),
      limit: DESIGN_LIMIT,
      bounds: DESIGN_BOUNDS,
      milliseconds: MILLISECONDS,
      random: seededRandom(3),
      isConforming,
    }),
  );
  const [shared, equal, central] = outcomes as [SchemeOutcome, SchemeOutcome, SchemeOutcome];
  const cells = outcomes.map(
    ({ usedFraction, refusedUnitFraction, largeFraction, smallFraction, fullestWindow }) =>
      [usedFraction, refusedUnitFraction, largeFraction, smallFraction, fullestWindow]
        .map((figure) => figure.toFixed(2))
        .join(' '),
  );
  const demand = `${multiple}${isConforming ? ' conforming' : ''}`;
  const spread = isSkewed ? 'skewed' : 'even';
  process.stdout.write(`| ${[instances, spread, demand, ...cells].join(' | ')} |\n`);
  return { shared, equal, central };
}

const SIZES = [8, 60].flatMap((instances) =>
  [false, true].map((isSkewed) => ({ instances, isSkewed })),
);

/** A run with 640 instances takes a second. */
const LARGEST = { instances: 640, isSkewed: true };

describe('AccountQuotas of several instances', () => {
  // Guards against more than the bound, and against a quota of which most is left.
  it.each([
    ...SIZES.flatMap((size) => [3, 10].map((multiple) => ({ ...size, multiple }))),
    { ...LARGEST, multiple: 3 },
    { ...LARGEST, multiple: 10 },
    { instances: 640, isSkewed: false, multiple: 3 },
  ])(
    'admits the quota of $multiple times the rate at $instances instances, skewed: $isSkewed',
    (scenario) => {
      const { shared, equal, central } = compare(scenario);
      expect(shared.fullestWindow).toBeLessThan(0.8);
      expect(shared.usedFraction).toBeGreaterThan(0.9);
      expect(shared.usedFraction).toBeLessThan(1.15);
      expect(shared.usedFraction).toBeGreaterThan(central.usedFraction * 0.9);
      expect(shared.usedFraction).toBeGreaterThan(equal.usedFraction * 1.5);
    },
  );

  // Guards against long requests that starve because short ones take what is left.
  it('refuses long requests as often as short ones', () => {
    const { shared, central } = compare({ instances: 60, multiple: 3, isSkewed: false });
    expect(shared.largeFraction).toBeGreaterThan(shared.smallFraction * 0.7);
    expect(shared.largeFraction).toBeGreaterThan(central.largeFraction);
  });

  // Guards against refusals below the quota, which are a loss to the account.
  it.each([
    ...SIZES.flatMap((size) => [0.5, 1, 3].map((multiple) => ({ ...size, multiple }))),
    { ...LARGEST, multiple: 3 },
  ])(
    'refuses almost nothing of what stays within the quota, $multiple at $instances instances, skewed: $isSkewed',
    (scenario) => {
      const { shared } = compare({ ...scenario, isConforming: true });
      expect(shared.refusedUnitFraction).toBeLessThan(0.03);
      expect(shared.fullestWindow).toBeLessThan(1);
    },
  );

  // Guards against a decision that spreads the bucket so thinly that callers pay for it.
  it.each([
    ...SIZES.flatMap((size) => [0.5, 1].map((multiple) => ({ ...size, multiple }))),
    { ...LARGEST, multiple: 1 },
  ])(
    'refuses hardly more than a central counter, $multiple at $instances instances, skewed: $isSkewed',
    (scenario) => {
      const { shared, central } = compare(scenario);
      expect(shared.refusedUnitFraction).toBeLessThan(central.refusedUnitFraction + 0.03);
      expect(shared.fullestWindow).toBeLessThan(1);
    },
  );
});
