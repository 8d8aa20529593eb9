import { describe, expect, it } from 'vitest';

import {
  EngineChoice,
  PerfectChoice,
  PreviousChoice,
  ServiceChoice,
  StaleReportFleet,
} from './StaleReportFleet.js';

import type { FleetChoice, FleetResult, FleetSettings } from './StaleReportFleet.js';

const FLEETS = {
  small: { instances: 8, endpoints: 20, utilization: 0.7, seconds: 20 },
  medium: { instances: 60, endpoints: 43, utilization: 0.75, seconds: 12 },
  large: { instances: 640, endpoints: 120, utilization: 0.8, seconds: 5 },
} as const;

/** Callers move between the zones, so that one has twice the mean demand at a time. */
const UNEVEN_DEMAND = [2, 1, 0.6];

function runFleet(
  size: keyof typeof FLEETS,
  choice: FleetChoice,
  changes: Pick<FleetSettings, 'reportAgeMilliseconds' | 'zoneDemand'>,
): FleetResult {
  return new StaleReportFleet({ ...FLEETS[size], ...changes }, choice).run();
}

/** Bounds on the misplaced requests, relative to the previous choice, and on the greatest load. */
interface Expectation {
  readonly size: keyof typeof FLEETS;
  readonly reportAgeMilliseconds: number;
  readonly misplacedFraction: number;
  readonly greatestToMean: number;
}

const EVEN_EXPECTATIONS: readonly Expectation[] = [
  { size: 'small', reportAgeMilliseconds: 1000, misplacedFraction: 0.7, greatestToMean: 1.9 },
  { size: 'small', reportAgeMilliseconds: 2000, misplacedFraction: 0.8, greatestToMean: 1.9 },
  { size: 'medium', reportAgeMilliseconds: 100, misplacedFraction: 0.4, greatestToMean: 1.5 },
  { size: 'medium', reportAgeMilliseconds: 300, misplacedFraction: 0.4, greatestToMean: 1.75 },
  { size: 'medium', reportAgeMilliseconds: 1000, misplacedFraction: 0.6, greatestToMean: 2.2 },
  { size: 'medium', reportAgeMilliseconds: 2000, misplacedFraction: 0.8, greatestToMean: 2.1 },
  { size: 'large', reportAgeMilliseconds: 100, misplacedFraction: 0.2, greatestToMean: 1.5 },
  { size: 'large', reportAgeMilliseconds: 300, misplacedFraction: 0.3, greatestToMean: 1.8 },
  { size: 'large', reportAgeMilliseconds: 1000, misplacedFraction: 0.6, greatestToMean: 2.4 },
  { size: 'large', reportAgeMilliseconds: 2000, misplacedFraction: 0.7, greatestToMean: 2.3 },
];

const UNEVEN_EXPECTATIONS: readonly Expectation[] = [
  { size: 'small', reportAgeMilliseconds: 100, misplacedFraction: 0.2, greatestToMean: 1.6 },
  { size: 'small', reportAgeMilliseconds: 300, misplacedFraction: 0.4, greatestToMean: 1.75 },
  { size: 'medium', reportAgeMilliseconds: 100, misplacedFraction: 0.2, greatestToMean: 1.7 },
  { size: 'medium', reportAgeMilliseconds: 300, misplacedFraction: 0.3, greatestToMean: 1.85 },
  { size: 'medium', reportAgeMilliseconds: 1000, misplacedFraction: 0.6, greatestToMean: 2.2 },
  { size: 'large', reportAgeMilliseconds: 300, misplacedFraction: 0.35, greatestToMean: 2 },
];

function expectImprovement(
  { size, reportAgeMilliseconds, misplacedFraction, greatestToMean }: Expectation,
  zoneDemand: readonly number[],
): void {
  const changes = { reportAgeMilliseconds, zoneDemand };
  const previous = runFleet(size, new PreviousChoice(), changes);
  const current = runFleet(size, new EngineChoice(), changes);
  expect(current.misplaced).toBeLessThan(previous.misplaced * misplacedFraction);
  expect(current.greatestToMean).toBeLessThan(greatestToMean);
  expect(current.queued).toBeLessThan(previous.queued);
}

// Guards against engines that are overloaded in turn while others are idle, because all instances
// choose the one that the last reports show as the least loaded.
describe('placement by reports of a known age', () => {
  it.each(EVEN_EXPECTATIONS)(
    'misplaces few requests of the $size fleet at $reportAgeMilliseconds ms',
    (expectation) => expectImprovement(expectation, [1, 1, 1]),
  );

  it.each(UNEVEN_EXPECTATIONS)(
    'misplaces few requests of the $size fleet with uneven demand at $reportAgeMilliseconds ms',
    (expectation) => expectImprovement(expectation, UNEVEN_DEMAND),
  );

  it.each([{ reportAgeMilliseconds: 100 }, { reportAgeMilliseconds: 300 }])(
    'distributes requests for services without engines at $reportAgeMilliseconds ms',
    ({ reportAgeMilliseconds }) => {
      const changes = { reportAgeMilliseconds, zoneDemand: UNEVEN_DEMAND };
      const previous = runFleet('medium', new PreviousChoice(), changes);
      const current = runFleet('medium', new ServiceChoice(), changes);
      expect(current.misplaced).toBeLessThan(previous.misplaced * 0.3);
      expect(current.greatestToMean).toBeLessThan(1.9);
    },
  );

  // Guards against a change for small deployments, whose instances exchange their loads directly.
  it.each([{ reportAgeMilliseconds: 50 }, { reportAgeMilliseconds: 100 }])(
    'places requests of the small fleet about as before at $reportAgeMilliseconds ms',
    ({ reportAgeMilliseconds }) => {
      const changes = { reportAgeMilliseconds, zoneDemand: [1, 1, 1] };
      const previous = runFleet('small', new PreviousChoice(), changes);
      const current = runFleet('small', new EngineChoice(), changes);
      const perfect = runFleet('small', new PerfectChoice(), changes);
      expect(current.misplaced).toBeLessThan(previous.misplaced + 0.01);
      expect(current.misplaced).toBeLessThan(perfect.misplaced + 0.02);
      expect(current.greatestToMean).toBeLessThan(previous.greatestToMean + 0.15);
    },
  );
});
