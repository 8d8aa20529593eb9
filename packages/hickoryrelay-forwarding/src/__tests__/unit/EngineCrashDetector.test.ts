import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { CrashEvidence } from 'hickoryrelay-forwarding/CrashEvidence';
import { EndpointState } from 'hickoryrelay-forwarding/EndpointState';
import { EngineCrashDetector } from 'hickoryrelay-forwarding/EngineCrashDetector';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';
import { SegmentQuarantine } from 'hickoryrelay-forwarding/SegmentQuarantine';

import { makeEndpoint, ScriptedLink } from './ForwardingFixture.js';

/** A link whose check of an endpoint takes a time, or until it is aborted. */
class SlowLink extends ScriptedLink {
  checks = 0;

  private readonly clock: ManualClock;

  private readonly milliseconds: number;

  constructor(clock: ManualClock, milliseconds: number) {
    super([]);
    this.clock = clock;
    this.milliseconds = milliseconds;
  }

  override async isRefused(_endpoint?: unknown, signal?: AbortSignal): Promise<boolean> {
    this.checks += 1;
    try {
      await this.clock.sleep(this.milliseconds, signal);
      return true;
    } catch {
      return false;
    }
  }
}

function makeDetector(checkMilliseconds: number) {
  const clock = new ManualClock();
  const link = new SlowLink(clock, checkMilliseconds);
  const evidence = new CrashEvidence();
  const quarantine = new SegmentQuarantine(evidence, clock);
  const detector = new EngineCrashDetector({ link, quarantine, clock });
  const state = new EndpointState(makeEndpoint('e1', { service: 'model' }), new PeerLoads());
  return { clock, link, evidence, detector, state };
}

describe('EngineCrashDetector', () => {
  // Guards against a burst of connections to an engine that many requests have lost at once.
  it('checks an engine once for all runs that it has lost, and records all their segments', async () => {
    const { clock, link, evidence, detector, state } = makeDetector(5);
    const results = Promise.all(
      [1, 2, 3].map((segment) => detector.handleLostRun(state, [segment])),
    );
    await clock.advance(10);
    expect(await results).toEqual([true, true, true]);
    expect(link.checks).toBe(1);
    expect([...evidence.segments].map(({ segment }) => segment)).toEqual([1, 2, 3]);
    expect(detector.attributedRuns).toBe(3);
  });

  it('excludes a crashed engine from placement until it may be back', async () => {
    const { clock, detector, state } = makeDetector(5);
    const result = detector.handleLostRun(state, []);
    await clock.advance(2900);
    await result;
    expect(state.isEjected(clock.monotonicMilliseconds())).toBe(true);
    await clock.advance(200);
    expect(state.isEjected(clock.monotonicMilliseconds())).toBe(false);
  });

  // Guards against retries that wait for an engine that is cut off and does not respond.
  it('does not wait longer than 250 ms, and attributes nothing then', async () => {
    const { clock, evidence, detector, state } = makeDetector(60_000);
    const result = detector.handleLostRun(state, [1]);
    await clock.advance(260);
    expect(await result).toBe(false);
    expect(evidence.size).toBe(0);
    expect(state.isEjected(clock.monotonicMilliseconds())).toBe(false);
  });
});
