import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { ForwardingMetrics } from 'hickoryrelay-forwarding/ForwardingMetrics';
import { QuotaLog } from 'hickoryrelay-forwarding/QuotaLog';
import { AccountQuotas } from 'hickoryrelay-quota/AccountQuotas';

import {
  makeConfiguration,
  makeHarness,
  makeRequest,
  makeResponse,
  makeRoute,
} from './ForwardingFixture.js';

import type { EndpointBehaviour } from './ForwardingFixture.js';
import type { ForwardedRequest } from 'hickoryrelay-forwarding/ForwardedRequest';
import type { ForwardingRoute, QuotaTerms } from 'hickoryrelay-forwarding/ForwardingConfiguration';

const succeeds: EndpointBehaviour = async () => makeResponse(['good']);
const rejects: EndpointBehaviour = async () => makeResponse([], { isNotRun: true, status: 503 });
const fails: EndpointBehaviour = async () => makeResponse([], { status: 500 });

const TOKENS: QuotaTerms = {
  limit: { ratePerSecond: 1000, burst: 1000 },
  countsTokens: true,
  plainTokens: 200,
};

/** Later than a window after the start, so that nothing is assumed of an earlier process. */
const START_MILLISECONDS = 20_000;

async function makeQuotaHarness(
  behaviours: EndpointBehaviour[],
  quota: QuotaTerms = TOKENS,
  route: Partial<ForwardingRoute> = {},
) {
  const configuration = makeConfiguration({
    routes: [makeRoute(route)],
    grants: new Map([['key-1', { account: 'account-1', quota }]]),
  });
  const clock = new ManualClock();
  const quotas = new AccountQuotas({
    limits: () => configuration.quotas,
    bounds: { windowMilliseconds: 8000, overshoot: 0.1, slack: 0 },
    listedInstances: () => 1,
    clock,
    random: new SeededRandomSource(1),
  });
  await clock.advance(START_MILLISECONDS);
  const harness = makeHarness({ configuration, behaviours, clock, quotas });
  const run = (changes: Partial<ForwardedRequest> = {}) =>
    harness.run(
      makeRequest({
        arrivedMilliseconds: START_MILLISECONDS,
        arrivedSuspensionMilliseconds: 0,
        ...changes,
      }),
    );
  return { ...harness, quotas, run, counts: () => [...quotas.counts()][0] };
}

describe('QuotaAdmission', () => {
  // Guards against a refusal after which the request may run.
  it('refuses a request over the quota with 429 and Retry-After, without an attempt', async () => {
    const harness = await makeQuotaHarness([succeeds]);
    await harness.run({ declaredTokens: 50_000 });
    expect(harness.sink.own).toMatchObject({ status: 429 });
    expect(harness.sink.own?.retryAfterMilliseconds).toBeGreaterThanOrEqual(100);
    expect(harness.link.sent).toHaveLength(0);
    expect(harness.counts()).toMatchObject({ refusedUnits: 50_000, refusedRequests: 1 });
  });

  it.each([
    ['the tokens that it states', TOKENS, { declaredTokens: 700 }, 700],
    ['the tokens of the account without a statement', TOKENS, {}, 200],
    ['1 if requests are counted', { ...TOKENS, countsTokens: false }, { declaredTokens: 700 }, 1],
  ])('takes %s', async (_name, quota, changes, units) => {
    const harness = await makeQuotaHarness([succeeds], quota);
    await harness.run(changes);
    expect(harness.sink.text).toBe('good');
    expect(harness.counts()).toMatchObject({ takenUnits: units, returnedUnits: 0 });
  });

  // Guards against an account that pays for requests which no endpoint ran.
  it('gives the cost back if all endpoints refuse to run the request', async () => {
    const harness = await makeQuotaHarness([rejects, rejects]);
    await harness.run();
    expect(harness.sink.own?.status).toBe(503);
    expect(harness.counts()).toMatchObject({ takenUnits: 200, returnedUnits: 200 });
  });

  it('gives the cost back if the instance is stopping', async () => {
    const harness = await makeQuotaHarness([succeeds]);
    harness.shutdown.begin();
    await harness.clock.advance(7000);
    await harness.run({ arrivedMilliseconds: START_MILLISECONDS + 7000 });
    expect(harness.sink.own?.status).toBe(503);
    expect(harness.counts()).toMatchObject({ takenUnits: 200, returnedUnits: 200 });
  });

  // Guards against work of endpoints that the quota does not count.
  it('keeps the cost of a request that may have run', async () => {
    const harness = await makeQuotaHarness([fails], TOKENS, { maximumAttempts: 1 });
    await harness.run();
    expect(harness.counts()).toMatchObject({ takenUnits: 200, returnedUnits: 0 });
  });

  it('counts a request again that is sent again after it may have run', async () => {
    const harness = await makeQuotaHarness([fails, succeeds], TOKENS, {
      retrySemantics: 'idempotent',
    });
    await harness.run();
    expect(harness.sink.text).toBe('good');
    expect(harness.counts()).toMatchObject({ takenUnits: 400, returnedUnits: 0 });
  });

  it('counts a request once that an endpoint refused to run before another ran it', async () => {
    const harness = await makeQuotaHarness([rejects, succeeds]);
    await harness.run();
    expect(harness.sink.text).toBe('good');
    expect(harness.counts()).toMatchObject({ takenUnits: 200, returnedUnits: 0 });
  });

  // Guards against a limit on requests whose account is not known.
  it('does not limit anonymous requests', async () => {
    const harness = await makeQuotaHarness([succeeds], TOKENS, { allowsAnonymous: true });
    await harness.run({ declaredTokens: 50_000, accessKey: undefined });
    expect(harness.sink.text).toBe('good');
  });
});

describe('QuotaLog', () => {
  function makeLog() {
    const lines: { sentence: string; fields: unknown }[] = [];
    const write = (sentence: string, fields?: unknown) => lines.push({ sentence, fields });
    const log = new QuotaLog({ debug: write, info: write, warn: write, error: write });
    return { log, lines };
  }

  // Guards against a log line for each refused request.
  it('logs the refusals of an account at most once in 10 s, with their number', () => {
    const { log, lines } = makeLog();
    for (let now = 0; now <= 10_000; now += 100) {
      log.recordRefusal('account-1', 5, now);
    }
    expect(lines.map(({ fields }) => fields)).toEqual([
      { account: 'account-1', requests: 1, units: 5 },
      { account: 'account-1', requests: 100, units: 500 },
    ]);
  });

  it('logs when instances fall silent and when they are heard again', () => {
    const { log, lines } = makeLog();
    for (const heardInstances of [60, 60, 40, 39, 60]) {
      log.recordCoverage({ heardInstances, listedInstances: 60 });
    }
    expect(lines.map(({ fields }) => fields)).toEqual([
      { heardInstances: 40, listedInstances: 60 },
      { heardInstances: 60, listedInstances: 60 },
    ]);
  });
});

describe('ForwardingMetrics', () => {
  it('renders a metric with a value for each account', () => {
    const metrics = new ForwardingMetrics();
    metrics.registerFamily('quota_share', {
      type: 'gauge',
      labelName: 'account',
      read: () => [
        { label: 'a', value: 1 },
        { label: 'b', value: 0.5 },
      ],
    });
    const text = metrics.render();
    expect(text).toContain('# TYPE hickoryrelay_quota_share gauge');
    expect(text).toContain('hickoryrelay_quota_share{account="b"} 0.5');
  });
});
