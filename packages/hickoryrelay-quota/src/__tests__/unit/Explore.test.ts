import { it } from 'vitest';
import {
  DESIGN_BOUNDS,
  DESIGN_LIMIT,
  SharedQuota,
  USUAL_NETWORK,
  designDemand,
  seededRandom,
  simulate,
  fullestWindowOf,
} from './QuotaSimulation.js';

const slow = {
  minimumDelayMilliseconds: 100,
  maximumDelayMilliseconds: 1000,
  lossFraction: 0.2,
  doubledFraction: 0.2,
};
it.each([
  [8, 190000],
  [60, 190000],
  [640, 190000],
  [8, 0],
  [60, 0],
])('%s slack %s', (instances, slack) => {
  const rows: any[] = [];
  const bounds = { ...DESIGN_BOUNDS, slack };
  const run = (
    name: string,
    multiple: any,
    network: any,
    skew: boolean,
    act?: (s: SharedQuota, now: number) => void,
    large = 0.3,
  ) => {
    let worst = 0;
    let used = 0;
    let refused = 0;
    const seeds = instances > 100 ? 1 : 3;
    for (let seed = 1; seed <= seeds; seed++) {
      const scheme = new SharedQuota({
        limit: DESIGN_LIMIT,
        bounds,
        instances,
        zones: 3,
        network,
        random: seededRandom(seed),
      });
      const demand = designDemand(1, instances, skew);
      const o = simulate({
        scheme,
        limit: DESIGN_LIMIT,
        bounds,
        milliseconds: 40_000,
        random: seededRandom(seed + 100),
        demand: {
          ...demand,
          largeFraction: large,
          perSecond: (t) => 29_000 * (typeof multiple === 'function' ? multiple(t) : multiple),
        },
        onStep: (now) => act?.(scheme, now),
      });
      worst = Math.max(worst, o.fullestWindow);
      used += o.admittedUnits / (29_000 * 40 + 29_600) / seeds;
      refused += o.refusedRequestFraction / seeds;
    }
    rows.push({
      name,
      skew,
      worst: worst.toFixed(3),
      ofQuota: used.toFixed(3),
      refused: refused.toFixed(3),
    });
  };
  for (const skew of [false, true]) {
    run('0.5', 0.5, USUAL_NETWORK, skew);
    run('0.5 small', 0.5, USUAL_NETWORK, skew, undefined, 0);
    run('0.9 small', 0.9, USUAL_NETWORK, skew, undefined, 0);
    run('3', 3, USUAL_NETWORK, skew);
    run('slow 0.5', 0.5, slow, skew);
    run('slow 3', 3, slow, skew);
    run('slow 10', 10, slow, skew);
    run('surge 1->10', (t: number) => (t < 15000 ? 1 : 10), USUAL_NETWORK, skew);
    run('surge slow', (t: number) => (t < 15000 ? 0.9 : 10), slow, skew);
    run('pulses', (t: number) => (t % 8000 < 1000 ? 10 : 0), USUAL_NETWORK, skew);
    const cut = (s: SharedQuota, now: number) => {
      s.canReach =
        now > 10_000 && now < 30_000
          ? (a, b) => (s.zoneOf(a) === 0) === (s.zoneOf(b) === 0)
          : () => true;
    };
    run('cut 3', 3, USUAL_NETWORK, skew, cut);
    run('cut 10', 10, USUAL_NETWORK, skew, cut);
    run('cut light then 5', (t: number) => (t < 12000 ? 0.1 : 5), USUAL_NETWORK, skew, cut);
    run('cut idle then 5', (t: number) => (t < 12000 ? 0 : 5), USUAL_NETWORK, skew, cut);
    run('all isolated 3', 3, USUAL_NETWORK, skew, (s, now) => {
      s.canReach = () => now < 10_000 || now > 30_000;
    });
    run('restart all at 20', 3, USUAL_NETWORK, skew, (s, now) => {
      if (now === 20_000) for (let i = 0; i < instances; i++) s.restart(i);
    });
    run('rolling', 3, USUAL_NETWORK, skew, (s, now) => {
      if (now > 10_000 && now % 100 === 0) s.restart((now / 100) % instances);
    });
    run('nonsense', 3, USUAL_NETWORK, skew, (s) => {
      s.alter = (f, r) =>
        f === 5 && r
          ? {
              ...r,
              accounts: r.accounts.map((u) => ({
                ...u,
                level: 1e300,
                windowUse: -5,
                demandPerSecond: Number.NaN,
              })),
            }
          : r;
    });
    run('huge', 0.9, USUAL_NETWORK, skew, (s) => {
      s.alter = (f, r) =>
        f === 5 && r
          ? {
              ...r,
              accounts: r.accounts.map((u) => ({
                ...u,
                level: 4e5,
                windowUse: 4e5,
                demandPerSecond: 1e7,
              })),
            }
          : r;
    });
  }
  console.table(rows);
});
