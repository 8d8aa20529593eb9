import OpenAI from 'openai';
import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

import type { EngineStandIn } from 'hickoryrelay-standin/EngineStandIn';
import type { ServiceStandIn } from 'hickoryrelay-standin/ServiceStandIn';

const TIMES = { prefillRate: 100_000, decodeMilliseconds: 1 };

describe('a call through an instance', () => {
  const federation = new LocalFederation();
  let engine: EngineStandIn;
  let service: ServiceStandIn;
  let key = '';
  let url = '';

  beforeAll(async () => {
    await federation.start();
    const place = { kind: 'engine', zone: 'zone-a', models: ['model-one'], times: TIMES };
    engine = await federation.addEngine('engine-1', place);
    service = await federation.addService('service-1', 'service', 'zone-a');
    const document = sampleDeclarations();
    key = federation.issueKey(document, 'first');
    await federation.apply(document);
    url = federation.urlOf(await federation.addInstance('entry-1', 'zone-a'));
  });

  afterAll(() => federation.stop());

  const client = () => new OpenAI({ apiKey: key, baseURL: `${url}/v1`, maxRetries: 0 });

  it('returns the same text with and without streaming', async () => {
    const messages = [{ role: 'user' as const, content: 'hello' }];
    const completion = await client().chat.completions.create({ model: 'model-one', messages });
    const stream = await client().chat.completions.create({
      model: 'model-one',
      messages,
      stream: true,
    });
    let text = '';
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? '';
    }
    expect(text).not.toBe('');
    expect(text).toBe(completion.choices[0]?.message.content);
  });

  it('lists the models of the account', async () => {
    const models = await client().models.list();
    expect(models.data.map(({ id }) => id)).toEqual(['model-one']);
  });

  // Guards against an account that infers the cached prompts of another from its time to first
  // token.
  it('sets the cache salt of engine requests by account and ignores that of the caller', async () => {
    const messages = [{ role: 'user' as const, content: 'salted' }];
    const saltedRequest = { model: 'model-one', messages, cache_salt: 'second' };
    await client().chat.completions.create(saltedRequest);
    const text = engine.received.at(-1)?.text ?? '{}';
    expect(JSON.parse(text)).toMatchObject({ messages, cache_salt: 'first' });
  });

  it('sends the access key to no endpoint', async () => {
    await request(`${url}/services/look/up`, { headers: { authorization: `Bearer ${key}` } });
    const everything = JSON.stringify([engine.received, service.received]);
    expect(service.received.length).toBeGreaterThan(0);
    expect(everything).not.toContain(key);
    expect(everything).not.toContain(key.slice(4, 16));
  });

  it.each([
    ['an unknown key', { authorization: 'Bearer hrk_000000000000_0' }, 401, 'unauthenticated'],
    ['no key', {}, 401, 'unauthenticated'],
    ['a key in another header', { 'x-api-key': 'secret' }, 400, 'invalid-request'],
  ])('rejects %s as not run', async (name, headers, status, code) => {
    const response = await request(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', ...headers },
      body: JSON.stringify({ model: 'model-one', messages: [] }),
    });
    const body = (await response.body.json()) as { error: { code: string; not_run: boolean } };
    expect(response.statusCode).toBe(status);
    expect(body.error.code).toBe(code);
    expect(body.error.not_run).toBe(true);
  });
});
