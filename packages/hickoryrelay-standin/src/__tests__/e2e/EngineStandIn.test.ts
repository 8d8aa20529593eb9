import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { ModelOperation } from 'hickoryrelay-link/Call';
import { OpenAiEngineLink } from 'hickoryrelay-link/OpenAiEngineLink';
import { EngineStandIn } from 'hickoryrelay-standin/EngineStandIn';
import { Fault } from 'hickoryrelay-standin/FaultPlan';

import type { ModelCall } from 'hickoryrelay-link/Call';

const CALL: ModelCall = {
  kind: 'model',
  requestIdentifier: 'request-1',
  accountName: 'first',
  keyIdentifier: undefined,
  className: 'ask',
  arrivalMilliseconds: 0,
  deadlineMilliseconds: 1_000_000,
  isIdempotent: true,
  idempotencyKey: undefined,
  operation: ModelOperation.Completions,
  model: 'model-one',
  parameters: { prompt: 'a', max_tokens: 1 },
  isStreaming: true,
  includesUsage: false,
  promptTokens: 1,
};

let engine: EngineStandIn;
let link: OpenAiEngineLink;

beforeEach(async () => {
  engine = new EngineStandIn(['model-one'], { prefillRate: 10_000, decodeMilliseconds: 0 });
  await engine.listen();
  link = new OpenAiEngineLink({ identifier: 'engine-1', zone: 'a', url: engine.url });
});

afterEach(async () => {
  await link.close();
  await engine.close();
});

/** Returns the rate limit in the head of the response to a call. */
async function readRateLimit(changes: Partial<ModelCall> = {}) {
  const response = link.send({ ...CALL, ...changes }, new AbortController().signal);
  await response.headReceived;
  for await (const chunk of response.chunks) {
    void chunk;
  }
  return response.notice?.rateLimit;
}

describe('an engine stand-in', () => {
  // Guards against tests of rate limits whose engines name none.
  it('names a rate limit that the link reads, changes it and drops it', async () => {
    expect(await readRateLimit()).toEqual({ requestsPerSecond: undefined });
    engine.rateLimit = 5.8;
    expect(await readRateLimit()).toEqual({ requestsPerSecond: 5.8 });
    expect(await readRateLimit({ isStreaming: false })).toEqual({ requestsPerSecond: 5.8 });
    expect(await readRateLimit({ model: 'unknown' })).toEqual({ requestsPerSecond: 5.8 });
    engine.rateLimit = 0;
    expect(await readRateLimit()).toEqual({ requestsPerSecond: 0 });
    engine.faults.enqueue(Fault.Refuse);
    expect(await readRateLimit()).toEqual({ requestsPerSecond: 0 });
    engine.rateLimit = undefined;
    expect(await readRateLimit()).toEqual({ requestsPerSecond: undefined });
  });
});
