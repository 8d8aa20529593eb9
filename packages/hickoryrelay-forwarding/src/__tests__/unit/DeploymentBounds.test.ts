import fastCheck from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  authorityTimesOf,
  forwardingLimitsOf,
  readingPeriodOf,
  stopTimesOf,
} from 'hickoryrelay-forwarding/DeploymentBounds';

const boundsArbitrary = fastCheck.record({
  configurationMilliseconds: fastCheck.integer({ min: 1000, max: 20_000 }),
  leavingMilliseconds: fastCheck.integer({ min: 1000, max: 20_000 }),
  withdrawnKeyMilliseconds: fastCheck.integer({ min: 2000, max: 20_000 }),
  graceMilliseconds: fastCheck.integer({ min: 2000, max: 60_000 }),
  retryRatio: fastCheck.double({ min: 0, max: 1, noNaN: true }),
  retrySlack: fastCheck.nat(500),
  usageWindowMilliseconds: fastCheck.integer({ min: 1000, max: 60_000 }),
  usageDueMilliseconds: fastCheck.integer({ min: 1000, max: 60_000 }),
  leaseMilliseconds: fastCheck.integer({ min: 1000, max: 20_000 }),
});

// Guards against limits of the program that exceed what the deployment promises.
describe('the limits of a deployment', () => {
  it('stay inside its bounds', () => {
    fastCheck.assert(
      fastCheck.property(boundsArbitrary, (bounds) => {
        const limits = forwardingLimitsOf(bounds);
        expect(limits.maximumViewAgeMilliseconds).toBeLessThan(bounds.withdrawnKeyMilliseconds);
        expect(limits.retryRatio).toBeLessThanOrEqual(bounds.retryRatio);
        expect(limits.retrySlack).toBeLessThanOrEqual(bounds.retrySlack);
        // A change that is missed by one reading is seen by the next in time.
        expect(readingPeriodOf(bounds) * 2).toBeLessThan(bounds.configurationMilliseconds);
        expect(readingPeriodOf(bounds) * 2).toBeLessThan(bounds.leavingMilliseconds);
      }),
    );
  });

  it('end the work before the grace time, and idle connections before the work', () => {
    fastCheck.assert(
      fastCheck.property(boundsArbitrary, (bounds) => {
        const { idleMilliseconds, workMilliseconds } = stopTimesOf(bounds);
        expect(idleMilliseconds).toBeLessThan(workMilliseconds);
        expect(workMilliseconds).toBeLessThan(bounds.graceMilliseconds);
      }),
    );
  });

  it('leave time for two renewals before a lease ends', () => {
    fastCheck.assert(
      fastCheck.property(boundsArbitrary, (bounds) => {
        const { renewalMilliseconds, marginMilliseconds } = authorityTimesOf(bounds);
        expect(renewalMilliseconds * 2 + marginMilliseconds).toBeLessThan(bounds.leaseMilliseconds);
      }),
    );
  });
});
