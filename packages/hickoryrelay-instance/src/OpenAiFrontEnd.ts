import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { ModelOperation } from 'hickoryrelay-link/Call';
import { prefixKeys } from 'hickoryrelay-link/PromptPrefix';

import { assertMayUse, identifyCaller } from './CallerIdentity.js';
import { HttpFrontEnd } from './HttpFrontEnd.js';
import {
  assertNoKey,
  decodeJsonObject,
  readContentType,
  readKeyText,
  readTarget,
} from './RequestReader.js';
import type { ArrivedRequest } from './FrontEnd.js';
import type { ClassOfWork } from 'hickoryrelay-contract/ClassOfWork';
import type { Identity } from 'hickoryrelay-contract/Declarations';
import type { JsonValue, ModelCall } from 'hickoryrelay-link/Call';
import type { IncomingMessage } from 'node:http';

/** Header by which a caller names the class of work; the first class with the model otherwise. */
const CLASS_HEADER = 'x-class-of-work';

const BYTES_PER_TOKEN = 4;

/** Parameters that are passed on to engines. All others are dropped. */
const ALLOWED_PARAMETERS: readonly string[] = [
  'messages',
  'prompt',
  'max_tokens',
  'max_completion_tokens',
  'temperature',
  'top_p',
  'n',
  'stop',
  'seed',
  'presence_penalty',
  'frequency_penalty',
  'logit_bias',
  'logprobs',
  'top_logprobs',
  'response_format',
  'tools',
  'tool_choice',
  'suffix',
  'echo',
];

const OPERATIONS_BY_PATH: Readonly<Record<string, ModelOperation>> = {
  '/v1/chat/completions': ModelOperation.ChatCompletions,
  '/v1/completions': ModelOperation.Completions,
};

function invalid(field: string, reason: string): RelayError {
  return new RelayError({ kind: FailureKind.InvalidRequest, field, reason });
}

function readOptional<Type extends 'boolean' | 'number' | 'string'>(
  body: Record<string, unknown>,
  field: string,
  type: Type,
): { boolean: boolean; number: number; string: string }[Type] | undefined {
  const value = body[field];
  if (value === undefined || value === null) {
    return undefined;
  }

  if (typeof value !== type) {
    throw invalid(field, `expected a ${type}`);
  }
  return value as { boolean: boolean; number: number; string: string }[Type];
}

/** Decodes the OpenAI-style requests for chat and text completions. */
export class OpenAiFrontEnd extends HttpFrontEnd {
  override async decode(arrived: ArrivedRequest<IncomingMessage>): Promise<ModelCall> {
    const { request } = arrived;
    const { path } = readTarget(request);
    const identity = identifyCaller(this.view, readKeyText(request));
    const body = await this.readBody(request);
    const decoded = decodeJsonObject(readContentType(request), body);
    return this.toCall(arrived, identity, path, decoded);
  }

  private toCall(
    arrived: ArrivedRequest<IncomingMessage>,
    identity: Identity,
    path: string,
    body: Record<string, unknown>,
  ): ModelCall {
    const operation = OPERATIONS_BY_PATH[path];
    if (operation === undefined) {
      throw new RelayError({ kind: FailureKind.NotFound, subject: 'operation', name: path });
    }
    const model = readOptional(body, 'model', 'string');
    if (model === undefined) {
      throw invalid('model', 'a model is required');
    }
    const work = this.classOf(arrived.request, identity, model);
    const parameters = OpenAiFrontEnd.allowedParameters(operation, body);
    const { requestIdentifier, arrivalMilliseconds } = arrived;
    const streamOptions = body.stream_options as { include_usage?: unknown } | undefined;
    return {
      kind: WorkKind.Model,
      requestIdentifier,
      accountName: identity.account.name,
      keyIdentifier: identity.key.identifier,
      className: work.name,
      arrivalMilliseconds,
      deadlineMilliseconds: this.deadlineOf(arrivalMilliseconds),
      isIdempotent: true,
      idempotencyKey: undefined,
      operation,
      model,
      parameters,
      isStreaming: readOptional(body, 'stream', 'boolean') ?? false,
      includesUsage: streamOptions?.include_usage === true,
      promptTokens: OpenAiFrontEnd.estimatePromptTokens(parameters),
      prefixKeys: prefixKeys(identity.account.name, OpenAiFrontEnd.promptText(parameters)),
    };
  }

  private classOf(request: IncomingMessage, identity: Identity, model: string): ClassOfWork {
    const { declarations } = this.view;
    const named = request.headers[CLASS_HEADER];
    if (typeof named === 'string') {
      const work = declarations.classes.get(named);
      if (work === undefined || !work.servesModel(model)) {
        throw new RelayError({ kind: FailureKind.NotFound, subject: 'class of work', name: named });
      }
      assertMayUse(identity.account, work);
      return work;
    }
    for (const name of identity.account.classNames) {
      const work = declarations.classes.get(name);
      if (work?.servesModel(model) === true) {
        return work;
      }
    }
    throw new RelayError({ kind: FailureKind.NotFound, subject: 'model', name: model });
  }

  private static allowedParameters(
    operation: ModelOperation,
    body: Record<string, unknown>,
  ): Record<string, JsonValue> {
    const isChat = operation === ModelOperation.ChatCompletions;
    if (isChat && !Array.isArray(body.messages)) {
      throw invalid('messages', 'expected a list of messages');
    }
    if (!isChat && typeof body.prompt !== 'string') {
      throw invalid('prompt', 'expected a text');
    }
    const parameters: Record<string, JsonValue> = {};
    for (const name of ALLOWED_PARAMETERS) {
      const value = body[name];
      if (value !== undefined && value !== null) {
        parameters[name] = value as JsonValue;
      }
    }
    assertNoKey('body', JSON.stringify(parameters));
    return parameters;
  }

  private static promptText(parameters: Record<string, JsonValue>): string {
    const prompt = parameters.messages ?? parameters.prompt ?? '';
    return typeof prompt === 'string' ? prompt : JSON.stringify(prompt);
  }

  private static estimatePromptTokens(parameters: Record<string, JsonValue>): number {
    const text = OpenAiFrontEnd.promptText(parameters);
    return Math.max(1, Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN));
  }
}
