import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  decodeRateReports,
  encodeRateReports,
  RateKind,
  ReportAge,
} from 'hickoryrelay-workload/RateReport';
import { RateReportQueue } from 'hickoryrelay-workload/RateReportQueue';
import { WorkloadModel } from 'hickoryrelay-workload/WorkloadModel';

import { SERVICE, SpeedFleet } from './SpeedFleet.js';

const ENGINES = 33;
const SPEEDS = [0.6, 1, 1.6];
const PREFILLS_PER_SECOND = 40;
const SECOND = 1000;

const PEER_ZONES = Array.from({ length: 58 }, () => 'a');

/** Mean relative error when nothing is learned: speed 1 is assumed of 0.6, 1 and 1.6. */
const DEFAULT_ERROR = (2 / 3 + 0 + 0.375) / 3;

function observeFor(fleet: SpeedFleet, model: WorkloadModel, seconds: number): void {
  for (let request = 0; request < seconds * PREFILLS_PER_SECOND; request += 1) {
    fleet.observe(model, (request / PREFILLS_PER_SECOND) * SECOND);
  }
  model.update(seconds * SECOND + SECOND);
}

describe('WorkloadModel', () => {
  // Guards against speeds that are known only after the first seconds of a deployment, which were the worst.
  it.each([
    { seconds: 1, bound: 0.25 },
    { seconds: 5, bound: 0.13 },
    { seconds: 20, bound: 0.1 },
  ])('has an error below $bound after $seconds s', ({ seconds, bound }) => {
    const fleet = new SpeedFleet(ENGINES, SPEEDS);
    const model = fleet.makeModel();
    observeFor(fleet, model, seconds);
    const error = fleet.errorOf(model, seconds * SECOND);
    expect(error).toBeLessThan(DEFAULT_ERROR);
    expect(error).toBeLessThan(bound);
  });

  // Guards against speeds that follow the mix of requests instead of the engines.
  it('keeps the speeds when the prompts become four times as long', () => {
    const fleet = new SpeedFleet(ENGINES, SPEEDS);
    const model = fleet.makeModel();
    observeFor(fleet, model, 20);
    fleet.promptFactor = 4;
    for (let request = 0; request < 5 * PREFILLS_PER_SECOND; request += 1) {
      fleet.observe(model, 20 * SECOND + (request / PREFILLS_PER_SECOND) * SECOND);
    }
    model.update(30 * SECOND);
    expect(fleet.errorOf(model, 30 * SECOND)).toBeLessThan(0.1);
  });

  // Guards against an instance that sees few requests and knows only the speeds that it has learned itself.
  it.each([
    { silent: 0, seconds: 5, bound: 0.15 },
    { silent: 20, seconds: 5, bound: 0.2 },
    { silent: 20, seconds: 20, bound: 0.11 },
    { silent: 40, seconds: 20, bound: 0.16 },
  ])(
    'has an error below $bound after $seconds s by the reports of 59 instances, $silent silent',
    ({ silent, seconds, bound }) => {
      const fleet = new SpeedFleet(ENGINES, SPEEDS);
      const models = Array.from({ length: 59 }, () => fleet.makeModel());
      const [observer] = models as [WorkloadModel];
      const queue = new RateReportQueue();
      for (let message = 0; message < seconds * 10; message += 1) {
        const now = message * 100;
        for (let request = 0; request < PREFILLS_PER_SECOND / 10; request += 1) {
          const sender = (message * 7 + request * 13) % models.length;
          fleet.observe(models[sender] as WorkloadModel, now);
        }
        for (const model of models.slice(silent + 1)) {
          model.takeReports(16, now).forEach((report) => queue.add(report, now));
        }
        observer.receive(queue.take(32, now), now + 100);
      }
      observer.update(seconds * SECOND + SECOND);
      expect(fleet.errorOf(observer, seconds * SECOND)).toBeLessThan(bound);
    },
  );

  // Guards against a choice that differs from the one of today in a fleet of equal engines.
  it('regards equal engines as equal', () => {
    const fleet = new SpeedFleet(ENGINES, [1]);
    const model = fleet.makeModel();
    observeFor(fleet, model, 20);
    expect(fleet.errorOf(model, 20 * SECOND)).toBeLessThan(0.05);
  });

  it('returns defaults while it knows nothing', () => {
    const model = new WorkloadModel();
    model.track(1, SERVICE);
    const unknown = { value: 1, ageMilliseconds: Number.POSITIVE_INFINITY, relativeError: 1 };
    expect(model.speedOf(1, 0)).toEqual(unknown);
    expect(model.slowdownOf(1, 0)).toEqual(unknown);
    expect(model.speedOf(2, 0)).toEqual(unknown);
    expect(model.summarize()).toEqual({ learnedEndpoints: 0, defaultEndpoints: 1, spread: 1 });
  });

  it('does not relate endpoints of different services', () => {
    const model = new WorkloadModel();
    for (let endpoint = 0; endpoint < 4; endpoint += 1) {
      model.track(endpoint, 'fast');
      model.track(endpoint + 4, 'slow');
    }
    for (let round = 0; round < 10; round += 1) {
      for (let endpoint = 0; endpoint < 4; endpoint += 1) {
        model.recordResponse(endpoint, 20, round * SECOND);
        model.recordResponse(endpoint + 4, 400, round * SECOND);
      }
    }
    model.update(20 * SECOND);
    expect(model.speedOf(0, 20 * SECOND).value).toBe(1);
    expect(model.speedOf(4, 20 * SECOND).value).toBe(1);
    expect(model.track(4, 'slow').responseMilliseconds).toBeCloseTo(400);
  });

  it('discards endpoints that have left, and starts anew with a new incarnation', () => {
    const fleet = new SpeedFleet(ENGINES, SPEEDS);
    const model = fleet.makeModel();
    observeFor(fleet, model, 10);
    model.retain(new Set([1, 2, 3]));
    expect(model.summarize().learnedEndpoints).toBe(3);
    expect(model.speedOf(0, 0).relativeError).toBe(1);
    expect(model.track(0, SERVICE).relative).toBe(1);
  });

  // Guards against an instance that starts and sends to slow engines until it has learned their speeds.
  it('tells the learned speeds to an instance that starts, within four messages', () => {
    const fleet = new SpeedFleet(120, SPEEDS);
    const model = fleet.makeModel();
    model.setInstances(PEER_ZONES, 'a', 0);
    observeFor(fleet, model, 20);
    model.takeReports(1000, 20 * SECOND);
    expect(model.takeLearnedReports(32, 0, 20 * SECOND)).toHaveLength(0);
    model.setInstances([...PEER_ZONES, 'a'], 'a', 20 * SECOND);
    const started = fleet.makeModel();
    for (let message = 0; message < 4; message += 1) {
      const reports = model.takeLearnedReports(32, 0, 20 * SECOND);
      expect(reports.length).toBeLessThanOrEqual(32);
      started.receive(decodeRateReports(encodeRateReports(reports), 256), 20 * SECOND + message);
    }
    started.update(21 * SECOND);
    const difference = fleet.speeds.map((_speed, endpoint) =>
      Math.abs(
        Math.log2(
          started.speedOf(endpoint, 21 * SECOND).value / model.speedOf(endpoint, 21 * SECOND).value,
        ),
      ),
    );
    expect(Math.max(...difference)).toBeLessThan(0.15);
  });

  // Guards against messages without end from instances that are idle.
  it('reports nothing while nothing is observed', () => {
    const fleet = new SpeedFleet(ENGINES, SPEEDS);
    const model = fleet.makeModel();
    model.setInstances(PEER_ZONES, 'a', 0);
    observeFor(fleet, model, 20);
    while (model.takeReports(16, 20 * SECOND).length > 0) {
      expect(model.takeLearnedReports(32, 1, 20 * SECOND).length).toBeLessThanOrEqual(1);
    }
    expect(model.takeReports(16, 30 * SECOND)).toHaveLength(0);
    expect(model.takeLearnedReports(32, 0, 30 * SECOND)).toHaveLength(0);
  });

  // Guards against a peer whose figures take all requests to one engine or away from it.
  it('keeps all speeds within bounds for any reports of peers', () => {
    const logRate = fc.oneof(fc.double(), fc.double({ min: -20, max: 20 }));
    const report = fc.record({
      endpoint: fc.integer({ min: 0, max: 8 }),
      kind: fc.constantFrom(...Object.values(RateKind)),
      age: fc.constantFrom(...Object.values(ReportAge)),
      logRate,
      weight: fc.integer({ min: 1, max: 15 }),
    });
    fc.assert(
      fc.property(fc.array(fc.array(report, { maxLength: 20 }), { maxLength: 10 }), (messages) => {
        const model = new WorkloadModel();
        const speeds = [0, 1, 2, 3, 4, 5].map((endpoint) => model.track(endpoint, SERVICE));
        messages.forEach((reports, index) => model.receive(reports, index * SECOND));
        for (const speed of speeds) {
          expect(speed.relative).toBeGreaterThanOrEqual(1 / 8);
          expect(speed.relative).toBeLessThanOrEqual(8);
          expect(speed.slowdown(messages.length * SECOND)).toBeGreaterThanOrEqual(1);
          expect(speed.slowdown(messages.length * SECOND)).toBeLessThanOrEqual(4);
          expect(speed.prefillRate ?? 1).toBeGreaterThan(0);
          expect(speed.prefillRate ?? 1).toBeLessThan(Number.POSITIVE_INFINITY);
        }
      }),
    );
  });
});
