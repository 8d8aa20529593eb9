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

describe('explore', () => {
  it.each([8, 60, 640])('%s', (instances) => {
    const rows: unknown[] = [];
    for (const isSkewed of [false, true])
      for (const multiple of [0.5, 1, 3, 10]) {
        for (const { name, scheme } of schemesOf({
          limit: DESIGN_LIMIT,
          bounds: DESIGN_BOUNDS,
          instances,
          zones: 3,
          network: USUAL_NETWORK,
          random: seededRandom(7),
        })) {
          const o = simulate({
            scheme,
            demand: designDemand(multiple, instances, isSkewed),
            limit: DESIGN_LIMIT,
            bounds: DESIGN_BOUNDS,
            milliseconds: 30_000,
            random: seededRandom(3),
          });
          rows.push({
            isSkewed,
            multiple,
            name,
            used: o.usedFraction.toFixed(3),
            refused: o.refusedRequestFraction.toFixed(3),
            large: o.largeFraction.toFixed(3),
            small: o.smallFraction.toFixed(3),
            window: o.fullestWindow.toFixed(3),
          });
        }
      }
    console.table(rows);
  });
});
