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

  const sendCall = (key: string, maxTokens: number) =>
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

  // Guards against a withdrawn key that stays in use until its streams end, and against refusing the
  // other keys of the account.
  it('ends its streams and is refused for new calls, while other keys stay valid', async () => {
    const validKey = federation.issueKey(document, 'first');
    const withdrawnKey = federation.issueKey(document, 'first');
    await federation.apply(document);
    url = federation.urlOf(await federation.addInstance('entry-1', 'zone-a'));
    const stream = await sendCall(withdrawnKey, 100_000);
    const account = document.accounts[0];
    account?.keys?.forEach((key) => {
      Object.assign(key, { withdrawn: withdrawnKey.includes(key.identifier) });
    });
    await federation.apply(document);
    const text = await stream.body.text();
    expect(text).toContain('"code":"key-withdrawn"');
    expect(text).not.toContain('[DONE]');
    const refused = await sendCall(withdrawnKey, 1);
    expect(refused.statusCode).toBe(401);
    expect(await refused.body.text()).toContain('"not_run":true');
    const accepted = await sendCall(validKey, 1);
    expect(accepted.statusCode).toBe(200);
    expect(await accepted.body.text()).toContain('[DONE]');
  });
});
