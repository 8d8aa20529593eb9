import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { SystemClock } from 'hickoryrelay/Clock';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

const ZONE = 'zone-a';
const WALL_CLOCK_SPEEDUP = 20;
const CALL_COUNT = 9;
const TOKENS_PER_CALL = 5;
const REPORT_TIMEOUT_MILLISECONDS = 55_000;

/** Speeds up wall-clock time, so that usage windows of 60 s take 3 s. */
class FastWallClock extends SystemClock {
  private readonly startWallMilliseconds = super.wallMilliseconds();

  private readonly startMilliseconds = super.monotonicMilliseconds();

  override wallMilliseconds(): number {
    const elapsed = this.monotonicMilliseconds() - this.startMilliseconds;
    return this.startWallMilliseconds + elapsed * WALL_CLOCK_SPEEDUP;
  }
}

describe('usage reports of a zone', () => {
  const federation = new LocalFederation(new FastWallClock());
  let key = '';

  beforeAll(async () => {
    await federation.start();
    await federation.addEngine('engine-1', {
      kind: 'engine',
      zone: ZONE,
      models: ['model-one'],
      times: { prefillRate: 100_000, decodeMilliseconds: 1 },
    });
    const document = sampleDeclarations();
    key = federation.issueKey(document, 'first');
    await federation.apply(document);
    for (const name of ['entry-1', 'entry-2', 'entry-3']) {
      await federation.addInstance(name, ZONE);
    }
  });

  afterAll(() => federation.stop());

  async function requestCompletion(index: number): Promise<void> {
    const instance = federation.instances[index % federation.instances.length];
    expect(instance).toBeDefined();
    const url = instance === undefined ? '' : federation.urlOf(instance);
    const response = await request(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
      body: JSON.stringify({
        model: 'model-one',
        messages: [{ role: 'user', content: 'x' }],
        stream: index % 2 === 0,
        max_tokens: TOKENS_PER_CALL,
      }),
    });
    await response.body.text();
    expect(response.statusCode).toBe(200);
  }

  const total = (field: 'calls' | 'completionTokens') =>
    federation.platform.reports.accepted
      .flatMap((report) => report.lines)
      .reduce((sum, line) => sum + line[field], 0);

  // Guards against calls that are lost or counted twice when instances seal and report usage.
  it('count every call of every instance once', { timeout: 120_000 }, async () => {
    await Promise.all(
      Array.from({ length: CALL_COUNT }, (empty, index) => requestCompletion(index)),
    );
    const end = federation.clock.monotonicMilliseconds() + REPORT_TIMEOUT_MILLISECONDS;
    while (total('calls') < CALL_COUNT && federation.clock.monotonicMilliseconds() < end) {
      await federation.clock.sleep(100);
    }
    expect(total('calls')).toBe(CALL_COUNT);
    expect(total('completionTokens')).toBe(CALL_COUNT * TOKENS_PER_CALL);
  });
});
