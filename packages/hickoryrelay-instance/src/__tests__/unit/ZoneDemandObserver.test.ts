import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { Declarations } from 'hickoryrelay-contract/Declarations';
import { Engine, EngineRole } from 'hickoryrelay-endpoint/Engine';
import { decodeLoadReport } from 'hickoryrelay-endpoint/EngineLoad';
import { encodePeerMessage } from 'hickoryrelay-link/PeerMessageCodec';
import { sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';
import { Fleet } from 'hickoryrelay-zone/Fleet';
import { Spend } from 'hickoryrelay-zone/Spend';

import { SmoothedDemand } from '../../SmoothedDemand.js';
import { ZoneDemandObserver } from '../../ZoneDemandObserver.js';
import { classTag, ZoneWork } from '../../ZoneWork.js';
import type { DigestRow, WorkTotals } from 'hickoryrelay-link/PeerMessages';

const TAG = classTag('ask');
const NO_WORK: WorkTotals = { prefill: 0, decode: 0, classes: [] };

function createRow(
  heartbeat: number,
  prefill: number,
  changes: Partial<DigestRow> = {},
): DigestRow {
  return {
    identity: { name: 'other', zone: 'zone-a', incarnation: '01' },
    heartbeat,
    state: 'live',
    revision: 1,
    viewAgeMilliseconds: 0,
    peersUrl: 'ws://other',
    costs: [],
    work: { prefill, decode: 0, classes: [[TAG, prefill]] },
    ...changes,
  };
}

describe('ZoneWork', () => {
  // Guards against demand that is counted twice, or that jumps with the first row of an instance.
  it('counts the work of other instances once, whatever rows are lost', () => {
    const work = new ZoneWork('zone-a');
    work.applyRow(createRow(7, 1000));
    expect(work.sums.prefill).toBe(0);
    work.applyRow(createRow(9, 1500));
    work.applyRow(
      createRow(1, 200, { identity: { name: 'other', zone: 'zone-a', incarnation: '02' } }),
    );
    work.applyRow(
      createRow(1, 900, { identity: { name: 'far', zone: 'zone-b', incarnation: '03' } }),
    );
    work.add('ask', { prefill: 10, decode: 0 });
    expect(work.sums.prefill).toBe(710);
    expect(work.sums.classes.get(TAG)).toBe(710);
  });

  // Guards against classes that are never published and rows that exceed their size limit.
  it('publishes the classes in rotation, within 30 bytes of a row', () => {
    const work = new ZoneWork('zone-a');
    const names = ['ask', 'brief', 'label', 'caption', 'proof'];
    names.forEach((name) => work.add(name, { prefill: 3e10, decode: 3e10 }));
    const receivedTags = new Set<number>();
    for (let row = 0; row < 3; row += 1) {
      const totals = work.nextTotals();
      totals.classes.forEach(([tag]) => receivedTags.add(tag));
      const bytes = (each: WorkTotals) =>
        encodePeerMessage({
          type: 'digest',
          rows: [createRow(1, 0, { work: each })],
          heartbeats: [],
        }).length;
      // Three of the bytes are the encoding of empty work, which the difference removes.
      expect(bytes(totals) - bytes(NO_WORK) + 3).toBeLessThanOrEqual(30);
    }
    expect(receivedTags).toEqual(new Set(names.map(classTag)));
  });
});

describe('ZoneDemandObserver', () => {
  let clock: ManualClock;
  let work: ZoneWork;
  let fleet: Fleet;
  let isZoneResponsive: boolean;
  let observer: ZoneDemandObserver;
  const document = { ...sampleDeclarations(), budget: { costPerHour: 8.5 } };
  const declarations = new Declarations(document);

  beforeEach(() => {
    clock = new ManualClock();
    work = new ZoneWork('zone-a');
    fleet = new Fleet();
    isZoneResponsive = true;
    observer = new ZoneDemandObserver({
      zone: 'zone-a',
      clock,
      fleet,
      declarations: () => declarations,
      demand: new SmoothedDemand(work.sums, clock),
      isZoneResponsive: () => isZoneResponsive,
    });
    const supplied = ['engine-1', 'engine-2'].map((identifier) => ({
      identifier,
      kind: 'engine',
      zone: 'zone-a',
      url: 'http://127.0.0.1:9',
      state: 'live' as const,
      ...(identifier === 'engine-2' ? { orderKey: 'order-2' } : {}),
    }));
    fleet.update(supplied, declarations.endpointKinds);
  });

  function updateReports(role: EngineRole = EngineRole.Mixed): void {
    for (const engine of fleet.endpoints()) {
      if (engine instanceof Engine) {
        const load = { running: 0, waiting: 0, slots: 8, waiting_prefill_tokens: 0 };
        const rates = { prefill_rate: 1000, decode_rate: 100, call_milliseconds: 0 };
        engine.load.update(
          decodeLoadReport({ ...load, ...rates, role }, clock.monotonicMilliseconds()),
        );
      }
    }
  }

  function updateSupply(pendingKinds: readonly string[] = []): void {
    const supplied = [...fleet.endpoints()].map(({ location, kind }) => ({
      ...location,
      kind: kind.name,
      state: 'live' as const,
      ...(location.identifier === 'engine-2' ? { orderKey: 'order-2' } : {}),
    }));
    const spend = new Spend({ 'zone-b': 4000 });
    observer.update({
      requestedMilliseconds: clock.monotonicMilliseconds(),
      spend,
      supplied,
      pendingKinds,
    });
  }

  /** Adds prefill work for three engines and decode work for one in each second. */
  async function advanceSeconds(seconds: number): Promise<void> {
    for (let second = 0; second < seconds; second += 1) {
      work.add('ask', { prefill: 3000, decode: 1000 });
      await clock.advance(1000);
      updateReports();
      updateSupply();
      observer.sample();
    }
  }

  // Guards against orders based on the first seconds of a term.
  it('observes nothing until the demand has been observed for 20 s', async () => {
    observer.sample();
    await advanceSeconds(19);
    expect([observer.roles(), observer.supply()]).toEqual([undefined, undefined]);
    await advanceSeconds(1);
    expect(observer.roles()?.demand.prefill).toBeCloseTo(3);
    expect(observer.roles()?.demand.decode).toBeCloseTo(1);
    expect(observer.supply()?.demands[0]?.units).toBeCloseTo(4);
  });

  // Guards against averages that include a time without samples.
  it('restarts the averages after a pause or the silence of an instance', async () => {
    await advanceSeconds(21);
    await clock.advance(16_000);
    await advanceSeconds(2);
    expect(observer.roles()).toBeUndefined();
    await advanceSeconds(20);
    expect(observer.roles()).toBeDefined();
    isZoneResponsive = false;
    expect([observer.roles(), observer.supply()]).toEqual([undefined, undefined]);
    await advanceSeconds(1);
    isZoneResponsive = true;
    await advanceSeconds(2);
    expect(observer.roles()).toBeUndefined();
  });

  // Guards against orders based on outdated reports or supply.
  it('observes nothing from expired reports or supply', async () => {
    await advanceSeconds(21);
    await clock.advance(11_000);
    expect(observer.roles()).toBeUndefined();
    updateReports();
    expect(observer.roles()).toBeDefined();
    observer.sample();
    await clock.advance(5000);
    updateReports();
    expect([observer.roles() !== undefined, observer.supply()]).toEqual([true, undefined]);
  });

  // Guards against ordering a second engine to change while the first still changes.
  it('considers an ordered engine as changing until a later report', async () => {
    await advanceSeconds(21);
    observer.recordOrder({
      type: 'endpoint-order',
      endpoint: 'engine-1',
      order: { type: 'change-role', role: EngineRole.Prefill },
      reason: '',
    });
    updateReports(EngineRole.Prefill);
    const changing = () => observer.roles()?.engines.map(({ isChanging }) => isChanging);
    expect(changing()).toEqual([true, false]);
    await clock.advance(100);
    updateReports(EngineRole.Prefill);
    expect(changing()).toEqual([false, false]);
  });

  // Guards against a second order for the same shortage.
  it('observes supply after an order once a new snapshot counts the pending endpoint', async () => {
    await advanceSeconds(21);
    const kind = declarations.endpointKinds.get('engine')!;
    observer.recordOrder({ type: 'supply-order', kind, limit: 8500, reason: '' });
    expect(observer.supply()).toBeUndefined();
    await clock.advance(100);
    updateSupply(['engine']);
    expect(observer.supply()).toMatchObject({
      kinds: [{ count: 3, idle: ['engine-2'] }],
      spendLimit: 8500,
      spent: 4000,
    });
  });
});
