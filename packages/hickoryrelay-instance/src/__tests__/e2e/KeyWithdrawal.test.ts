import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

import type { DeclarationsDocument } from 'hickoryrelay-contract/Declarations';

describe('a withdrawn key', () => {
  const federation = new LocalFederation();
  let document: DeclarationsDocument;
  let url = '';

  beforeAll(async () => {
    await federation.start();
    await federation.addEngine('engine-1', {
      kind: 'engine',
      zone: 'zone-a',
      models: ['model-one'],
      times: { prefillRate: 100_000, decodeMilliseconds: 20 },
    });
    document = sampleDeclarations();
  });

  afterAll(() => federation.stop());

  const send = (key: string, maxTokens: number) =>
    request(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
      body: JSON.stringify({
        model: 'model-one',
        messages: [],
        stream: true,
        max_tokens: maxTokens,
      }),
    });

  it('ends its streams and opens no new call, and other keys go on', async () => {
    const kept = federation.issueKey(document, 'first');
    const withdrawn = federation.issueKey(document, 'first');
    await federation.apply(document);
    url = federation.urlOf(await federation.addInstance('entry-1', 'zone-a'));
    const stream = await send(withdrawn, 100_000);
    const first = document.accounts[0];
    first?.keys?.forEach((key) => {
      Object.assign(key, { withdrawn: withdrawn.includes(key.identifier) });
    });
    await federation.apply(document);
    const text = await stream.body.text();
    expect(text).toContain('"code":"key-withdrawn"');
    expect(text).not.toContain('[DONE]');
    const refused = await send(withdrawn, 1);
    expect(refused.statusCode).toBe(401);
    expect(await refused.body.text()).toContain('"not_run":true');
    const accepted = await send(kept, 1);
    expect(accepted.statusCode).toBe(200);
    expect(await accepted.body.text()).toContain('[DONE]');
  });
});
