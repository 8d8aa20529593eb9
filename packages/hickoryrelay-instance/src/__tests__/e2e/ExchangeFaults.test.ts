import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { RetryBudget } from 'hickoryrelay/RetryBudget';
import { completionWords } from 'hickoryrelay-standin/EngineStandIn';
import { Fault } from 'hickoryrelay-standin/FaultPlan';
import { StreamFault } from 'hickoryrelay-standin/StreamFault';

import { ExchangeFixture, readEvents, RecordingWriter } from './ExchangeFixture.js';
import type { ExchangeLimits } from 'hickoryrelay-instance/ExchangeLimits';

describe('Exchange', () => {
  let fixture = new ExchangeFixture();

  beforeEach(async () => {
    fixture = await new ExchangeFixture().start();
  });

  afterEach(() => fixture.stop());

  const overrideLimits = (limits: Partial<ExchangeLimits>) => {
    fixture.parts = { ...fixture.parts, limits: { ...fixture.parts.limits, ...limits } };
  };
  const refuseAll = () => {
    for (const engine of fixture.engines) {
      engine.faults.defaultFault = Fault.Refuse;
    }
  };

  // Guards against retries that outlive the deadline of their call.
  it('ends all attempts at the deadline of the call', async () => {
    refuseAll();
    overrideLimits({ maximumAttemptsWithoutProgress: 1_000_000 });
    const writer = await fixture.run(fixture.modelCall({ deadlineMilliseconds: 40 }));
    expect(writer.report?.failure.kind).toBe('deadline-exceeded');
    expect(fixture.counters.retries).toBeGreaterThan(3);
  });

  // Guards against retries that multiply the load during an outage.
  it('stops retrying when the retry budget of the instance is exhausted', async () => {
    refuseAll();
    const retryBudget = new RetryBudget({ share: 0.5, capacity: 3 });
    fixture.parts = { ...fixture.parts, retryBudget };
    await fixture.run(fixture.modelCall());
    expect(fixture.counters.retries).toBe(3);
    await fixture.run(fixture.modelCall());
    await fixture.run(fixture.modelCall());
    expect(fixture.counters.retries).toBe(4);
  });

  it('fails after the maximum number of attempts without progress', async () => {
    refuseAll();
    overrideLimits({ maximumAttemptsWithoutProgress: 4 });
    const writer = await fixture.run(fixture.modelCall());
    expect(writer.report?.failure.kind).toBe('endpoint-failed');
    expect(writer.report?.notRun).toBe(false);
    expect(fixture.counters.retries).toBe(3);
    expect(writer.passedOnCount).toBe(4);
  });

  // Guards against engines that generate tokens for callers that have disconnected.
  it('cancels the call at the engine immediately when the caller disconnects', async () => {
    fixture.engines[0]?.planFaults({ fault: StreamFault.Stall, afterTokens: 2 });
    const call = fixture.modelCall();
    const exchange = fixture.open(call);
    const writer = new RecordingWriter(fixture.meter);
    const ended = exchange.run(writer);
    const stalledResponses = () => fixture.engines[0]?.stalledResponses ?? 0;
    await expect.poll(stalledResponses).toBe(1);
    await expect.poll(() => readEvents(writer.text).text).not.toBe('');
    exchange.cancel(
      new RelayError({ kind: FailureKind.Cancelled, reason: 'the caller disconnected' }),
    );
    await ended;
    await expect.poll(stalledResponses).toBe(0);
    expect(fixture.clock.monotonicMilliseconds()).toBe(0);
    expect(fixture.meter.closed).toHaveLength(1);
    expect(fixture.meter.closed[0]?.tokenCounts.completionTokens).toBe(2);
  });

  // Guards against a progress deadline that also runs while the caller applies backpressure.
  it('does not mistake a slow caller for a stalled engine', async () => {
    const writer = new RecordingWriter(fixture.meter);
    writer.onWrite = () => fixture.advancePastStall();
    await fixture.run(fixture.modelCall(), writer);
    expect(writer.ended).toBe(true);
    expect(fixture.counters.stalls).toBe(0);
  });

  it('resumes on another engine when one is removed in the middle of a stream', async () => {
    fixture.engines[0]?.planFaults({ fault: StreamFault.Stall, afterTokens: 3 });
    const call = fixture.modelCall();
    const writer = new RecordingWriter(fixture.meter);
    const ended = fixture.open(call).run(writer);
    await expect.poll(() => fixture.engines[0]?.stalledResponses).toBe(1);
    const [withdrawn] = fixture.fleet.endpoints();
    if (withdrawn !== undefined) {
      await fixture.parts.links.closeLink(withdrawn);
    }
    await fixture.advanceUntil(ended);
    expect(readEvents(writer.text).text).toBe(
      completionWords(JSON.stringify(call.parameters.messages), 8).join(''),
    );
    expect(fixture.counters).toMatchObject({ stalls: 0, resumes: 1 });
  });

  // Guards against a resume that depends on token numbers, which are optional in the protocol.
  it('resumes with the delivered tokens and text even if the engine does not number tokens', async () => {
    const [engine] = fixture.engines;
    for (const each of fixture.engines) {
      each.includesTokenIndex = false;
    }
    engine?.planFaults({ fault: StreamFault.Crash, afterTokens: 3 });
    const call = fixture.modelCall();
    const writer = await fixture.run(call);
    const words = completionWords(JSON.stringify(call.parameters.messages), 8);
    expect(readEvents(writer.text)).toMatchObject({ text: words.join(''), finishEvents: 1 });
    expect(JSON.parse(fixture.engines[1]?.received[0]?.text ?? '{}')).toMatchObject({
      resume: { delivered_tokens: 3, delivered_text: words.slice(0, 3).join('') },
    });
    expect(engine?.generatedTokens(call.requestIdentifier)).toBe(3);
  });

  // Guards against tokens that are lost because a later event of their chunk fails.
  it('forwards the tokens before a gap that arrive in the same chunk', async () => {
    const [, engine] = fixture.engines;
    const [first] = fixture.fleet.endpoints();
    const endCall = first?.startCall();
    engine?.planFaults({ fault: StreamFault.MissingChunk, afterTokens: 4 });
    const call = fixture.modelCall();
    const writer = await fixture.run(call);
    endCall?.();
    const words = completionWords(JSON.stringify(call.parameters.messages), 8);
    expect(readEvents(writer.text)).toMatchObject({ text: words.join(''), finishEvents: 1 });
    expect(fixture.counters.resumes).toBe(1);
    expect(writer.chunks.length).toBeLessThan(words.length);
  });

  // Guards against a resume from incomplete text, and against memory that is not released.
  it('fails an interrupted stream with a typed error if its text was too long to keep', async () => {
    overrideLimits({ maximumResumeTextBytes: 20 });
    fixture.engines[0]?.planFaults({ fault: StreamFault.Crash, afterTokens: 5 });
    const writer = await fixture.run(fixture.modelCall());
    expect(writer.report).toMatchObject({ failure: { kind: 'endpoint-failed' }, notRun: false });
    expect(fixture.counters.resumes).toBe(0);
    expect(fixture.memoryBudget.used).toBe(0);
  });

  // Guards against large responses that exhaust the memory of the instance.
  it('does not buffer a model response beyond the limit', async () => {
    overrideLimits({ maximumBufferedModelBytes: 100, maximumAttemptsWithoutProgress: 2 });
    const writer = await fixture.run(fixture.modelCall({ isStreaming: false }));
    expect(writer.report).toMatchObject({ failure: { kind: 'endpoint-failed' }, notRun: false });
    expect(fixture.memoryBudget.used).toBe(0);
  });

  it('forwards a large service response without buffering it', async () => {
    overrideLimits({ maximumBufferedServiceBytes: 10 });
    const writer = await fixture.run(fixture.serviceCall({ isIdempotent: true }));
    expect(JSON.parse(writer.text)).toMatchObject({ run: 1 });
    expect(fixture.memoryBudget.used).toBe(0);
  });

  // Guards against idempotency keys that stay blocked by a call that never reached the service.
  it('abandons a claim if the call has certainly not run', async () => {
    fixture.supply('http://127.0.0.1:9');
    const refused = await fixture.run(fixture.serviceCall({ idempotencyKey: 'one' }));
    expect(refused.report?.notRun).toBe(true);
    fixture.supply(fixture.service.url);
    const writer = await fixture.run(fixture.serviceCall({ idempotencyKey: 'one' }));
    expect(writer.report).toBeUndefined();
    expect(writer.ended).toBe(true);
  });

  it('counts the events that it drops', async () => {
    fixture.engines[0]?.planFaults(
      { fault: StreamFault.ForeignChunk, afterTokens: 2 },
      { fault: StreamFault.RepeatedChunk, afterTokens: 4 },
    );
    await fixture.run(fixture.modelCall());
    expect(fixture.counters).toMatchObject({ mismatchedEvents: 1, duplicateEvents: 1, resumes: 0 });
  });
});
