import fc from 'fast-check';
import { afterAll, describe, expect, it } from 'vitest';
import { completionWords } from 'hickoryrelay-standin/EngineStandIn';
import { Fault } from 'hickoryrelay-standin/FaultPlan';
import { FaultKind, FaultTally } from 'hickoryrelay-standin/FaultTally';
import { fuzzSettings } from 'hickoryrelay-standin/FuzzSettings';
import { StreamFault } from 'hickoryrelay-standin/StreamFault';

import {
  ExchangeFixture,
  UNREACHABLE_ADDRESS,
  readEvents,
  RecordingWriter,
} from './ExchangeFixture.js';
import type { ModelCall, ServiceCall } from 'hickoryrelay-link/Call';

const { seed: SEED, runs: RUNS, path: FUZZ_PATH } = fuzzSettings(60);

/** `FUZZ_SEED` and `FUZZ_PATH` replay a failure reported by fast-check. */
const PARAMETERS = {
  seed: SEED,
  numRuns: RUNS,
  ...(FUZZ_PATH === undefined ? {} : { path: FUZZ_PATH }),
};

const FAULTS = [
  FaultKind.EngineCrash,
  FaultKind.EarlyClose,
  FaultKind.StalledEngine,
  FaultKind.ForeignChunk,
  FaultKind.RepeatedChunk,
  FaultKind.MissingChunk,
  FaultKind.CallerDisconnect,
  FaultKind.Refusal,
  FaultKind.LostResponse,
  FaultKind.SilentConnection,
  FaultKind.RefusedConnection,
  FaultKind.Outage,
];
const TALLY = new FaultTally();

afterAll(() => {
  process.stdout.write(TALLY.describe('exchange', FAULTS));
});

function countDisconnect(writer: RecordingWriter): void {
  if (writer.hasDisconnected) {
    TALLY.count(FaultKind.CallerDisconnect);
  }
}

const modelCallScript = fc.record({
  tokens: fc.integer({ min: 1, max: 10 }),
  isStreaming: fc.boolean(),
  includesUsage: fc.boolean(),
  disconnectAfterChunks: fc.option(fc.integer({ min: 0, max: 8 }), { nil: undefined, freq: 4 }),
});

const streamFaults = fc.array(
  fc.record({
    fault: fc.constantFrom(...Object.values(StreamFault)),
    afterTokens: fc.integer({ min: 0, max: 6 }),
  }),
  { minLength: 1, maxLength: 3 },
);

/** True in one of four cases, so that sequences contain successful calls after failed ones. */
const usuallyFalse = fc.constantFrom(false, false, false, true);

const serviceStep = fc.record({
  key: fc.constantFrom('a', 'b', undefined),
  isIdempotent: fc.boolean(),
  fault: fc.constantFrom(
    Fault.None,
    Fault.None,
    Fault.None,
    Fault.LoseResponse,
    Fault.Silent,
    Fault.Refuse,
  ),
  isServiceDown: usuallyFalse,
  isClaimRegisterDown: usuallyFalse,
  callerDisconnects: usuallyFalse,
});

type ModelCallScript = typeof modelCallScript extends fc.Arbitrary<infer Script> ? Script : never;

function expectedText(call: ModelCall): string {
  const { messages, max_tokens: tokens } = call.parameters;
  return completionWords(JSON.stringify(messages), Number(tokens)).join('');
}

/** All injected faults are within the limits, so the caller receives the complete response once. */
function checkModelResponse(
  call: ModelCall,
  script: ModelCallScript,
  writer: RecordingWriter,
): void {
  expect(writer.report).toBeUndefined();
  if (!call.isStreaming) {
    const response = JSON.parse(writer.text) as {
      id: string;
      choices: { message: { content: string } }[];
    };
    expect(response.id).toBe(call.requestIdentifier);
    expect(response.choices[0]?.message.content).toBe(expectedText(call));
    return;
  }
  const seen = readEvents(writer.text);
  expect([...seen.requestIdentifiers]).toEqual([call.requestIdentifier]);
  expect(seen.text).toBe(expectedText(call));
  expect(seen.finishEvents).toBe(1);
  expect(seen.doneEvents).toBe(1);
  expect(seen.usages).toEqual(call.includesUsage ? [script.tokens] : []);
}

function checkUsage(
  fixture: ExchangeFixture,
  call: ModelCall,
  script: ModelCallScript,
  writer: RecordingWriter,
): void {
  const { requestIdentifier } = call;
  const records = fixture.meter.closed.filter(
    (each) => each.requestIdentifier === requestIdentifier,
  );
  expect(fixture.meter.opened.filter((each) => each === requestIdentifier)).toHaveLength(1);
  expect(records).toHaveLength(1);
  const completionTokens = records[0]?.tokenCounts.completionTokens ?? -1;
  if (writer.ended) {
    expect(completionTokens).toBe(script.tokens);
    expect(writer.closesBeforeLastWrite).toBeGreaterThan(0);
  } else if (call.isStreaming) {
    const deliveredTokens = readEvents(writer.text).text.split(' ').length - 1;
    expect(completionTokens).toBeGreaterThanOrEqual(deliveredTokens);
    expect(completionTokens).toBeLessThanOrEqual(script.tokens);
  }
}

type ServiceStep = typeof serviceStep extends fc.Arbitrary<infer Step> ? Step : never;

/** Computes which outcomes may be reported to callers, from what the service has run. */
class ServiceOracle {
  private readonly fixture: ExchangeFixture;

  private readonly responsesByKey = new Map<string, string>();

  constructor(fixture: ExchangeFixture) {
    this.fixture = fixture;
  }

  call(step: ServiceStep): ServiceCall {
    const { isIdempotent, key: idempotencyKey } = step;
    const call = this.fixture.serviceCall({ isIdempotent, idempotencyKey });
    const body = idempotencyKey === undefined ? call.body : Buffer.from(idempotencyKey);
    return { ...call, body, path: isIdempotent ? '/again' : '/once' };
  }

  check(step: ServiceStep, call: ServiceCall, runsBefore: number, writer: RecordingWriter): void {
    const runs = this.fixture.runsOf(call);
    const { report } = writer;
    if (report?.notRun === true) {
      expect(runs).toBe(runsBefore);
    }
    expect(writer.ended).toBe(report === undefined);
    if (call.isIdempotent) {
      expect(writer.ended || step.isServiceDown || step.callerDisconnects).toBe(true);
    } else {
      expect(runs).toBeLessThanOrEqual(1);
      this.checkAtMostOnce(step, call, runsBefore, writer);
    }
    const metered = (each: { requestIdentifier: string }) =>
      each.requestIdentifier === call.requestIdentifier;
    const { opened, closed } = this.fixture.meter;
    const opens = opened.filter((requestIdentifier) => metered({ requestIdentifier }));
    expect(opens.length).toBeLessThanOrEqual(1);
    expect(closed.filter(metered)).toHaveLength(opens.length);
  }

  private checkAtMostOnce(
    step: ServiceStep,
    call: ServiceCall,
    runsBefore: number,
    { report, text }: RecordingWriter,
  ): void {
    const hasRun = this.fixture.runsOf(call) > runsBefore;
    const storedText = this.responsesByKey.get(call.idempotencyKey ?? '');
    const isReachable = !step.isClaimRegisterDown && !step.callerDisconnects;
    const isHealthy = isReachable && !step.isServiceDown && step.fault === Fault.None;
    if ((isReachable && storedText !== undefined) || (isHealthy && runsBefore === 0)) {
      expect(report).toBeUndefined();
    }
    if (report === undefined && storedText !== undefined) {
      expect(text).toBe(storedText);
    }
    if (report === undefined && call.idempotencyKey !== undefined) {
      this.responsesByKey.set(call.idempotencyKey, text);
    }
    if (hasRun && (step.fault === Fault.LoseResponse || step.fault === Fault.Silent)) {
      expect(report?.failure.kind).toBe('result-unknown');
    }
    if (hasRun && report !== undefined) {
      expect(report.failure.kind).toBe('result-unknown');
    }
    const needsClaim = call.idempotencyKey !== undefined;
    if (needsClaim ? step.isClaimRegisterDown : step.isServiceDown) {
      expect(report?.notRun).toBe(true);
    }
  }
}

describe('Exchange under generated faults', () => {
  it('delivers the complete model response without missing, duplicate or mismatched events', async () => {
    const script = fc.record({
      calls: fc.array(modelCallScript, { minLength: 1, maxLength: 3 }),
      faults: fc.array(streamFaults, { maxLength: 4 }),
    });
    await fc.assert(
      fc.asyncProperty(script, async ({ calls, faults }) => {
        const fixture = await new ExchangeFixture(TALLY).start();
        try {
          for (const engine of fixture.engines) {
            faults.forEach((planned) => engine.planFaults(...planned));
          }
          const runs = calls.map(async (callScript) => {
            const { isStreaming, includesUsage } = callScript;
            const call = fixture.modelCall({ isStreaming, includesUsage }, callScript.tokens);
            const writer = new RecordingWriter(fixture.meter, callScript.disconnectAfterChunks);
            await fixture.run(call, writer);
            countDisconnect(writer);
            return { call, callScript, writer };
          });
          for (const { call, callScript, writer } of await Promise.all(runs)) {
            if (writer.ended) {
              checkModelResponse(call, callScript, writer);
            } else {
              expect(writer.report?.failure.kind).toBe('cancelled');
              expect(callScript.disconnectAfterChunks).toBeDefined();
            }
            checkUsage(fixture, call, callScript, writer);
          }
          expect(fixture.memoryBudget.used).toBe(0);
        } finally {
          await fixture.stop();
        }
      }),
      PARAMETERS,
    );
  });

  it('runs a non-idempotent service call at most once and reports its outcome correctly', async () => {
    const script = fc.array(serviceStep, { minLength: 1, maxLength: 6 });
    await fc.assert(
      fc.asyncProperty(script, async (steps) => {
        const fixture = await new ExchangeFixture(TALLY).start(0);
        const oracle = new ServiceOracle(fixture);
        try {
          for (const step of steps) {
            const call = oracle.call(step);
            const { faults } = fixture.service;
            faults.defaultFault = step.isIdempotent ? Fault.None : step.fault;
            if (step.isIdempotent) {
              faults.enqueue(step.fault);
            }
            fixture.claims.isUnavailable = step.isClaimRegisterDown;
            fixture.supply(step.isServiceDown ? UNREACHABLE_ADDRESS : fixture.service.url);
            const writer = new RecordingWriter(
              fixture.meter,
              step.callerDisconnects ? 0 : undefined,
            );
            const runsBefore = fixture.runsOf(call);
            await fixture.run(call, writer, step.fault === Fault.Silent);
            countDisconnect(writer);
            oracle.check(step, call, runsBefore, writer);
            while (step.isIdempotent && faults.takeNext() !== Fault.None) {
              // Discards faults that no request has consumed, so that they do not affect the next
              // call.
            }
          }
        } finally {
          await fixture.stop();
        }
      }),
      PARAMETERS,
    );
  });
});
