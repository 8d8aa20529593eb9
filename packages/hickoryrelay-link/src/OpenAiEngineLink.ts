import { invariant } from 'hickoryrelay/Invariant';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';

import { ModelOperation } from './Call.js';
import { HttpEndpointLink } from './HttpEndpointLink.js';

import type { Call } from './Call.js';
import type { ResumePoint } from './EndpointLink.js';
import type { EncodedCall } from './HttpEndpointLink.js';

const OPERATION_PATHS: Readonly<Record<ModelOperation, string>> = {
  [ModelOperation.ChatCompletions]: '/v1/chat/completions',
  [ModelOperation.Completions]: '/v1/completions',
};

/** Link to an engine with an OpenAI-compatible API. */
export class OpenAiEngineLink extends HttpEndpointLink {
  protected override readonly isBodyIdentified = true;

  protected override encode(call: Call, resume: ResumePoint | undefined): EncodedCall {
    invariant(call.kind === WorkKind.Model, `expected a model call, received a ${call.kind} call`);
    const body = {
      ...call.parameters,
      model: call.model,
      stream: call.isStreaming,
      request_id: call.requestIdentifier,
      // Without a salt, the time to the first token would reveal to one account the prompts of
      // others, because a cached prefix is faster.
      cache_salt: call.accountName,
      // The engine refers to prefixes of the prompt by these keys in its cache events.
      ...(call.prefixKeys === undefined || call.prefixKeys.length === 0
        ? {}
        : { prefix_keys: call.prefixKeys }),
      ...(call.isStreaming ? { stream_options: { include_usage: true } } : {}),
      ...(resume === undefined
        ? {}
        : {
            resume: {
              delivered_tokens: resume.deliveredTokens,
              delivered_text: resume.deliveredText,
            },
          }),
    };
    return {
      method: 'POST',
      path: OPERATION_PATHS[call.operation],
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    };
  }
}
