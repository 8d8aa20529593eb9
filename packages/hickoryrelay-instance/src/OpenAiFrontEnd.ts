import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { ModelOperation } from 'hickoryrelay-link/Call';
import { computePrefixKeys } from 'hickoryrelay-link/PromptPrefix';

import { assertAuthorized, authenticateCaller } from './CallerAuthentication.js';
import { HttpFrontEnd } from './HttpFrontEnd.js';
import {
  assertNoAccessKey,
  decodeJsonObject,
  readContentType,
  readKeyText,
  readTarget,
} from './RequestReader.js';
import type { ReceivedRequest } from './FrontEnd.js';
import type { ClassOfWork } from 'hickoryrelay-contract/ClassOfWork';
import type { Identity } from 'hickoryrelay-contract/Declarations';
import type { JsonValue, ModelCall } from 'hickoryrelay-link/Call';
import type { IncomingMessage } from 'node:http';

/**
 * Header that selects the class of work. Without it, the account's first class that serves the
 * model is used.
 */
const CLASS_HEADER = 'x-class-of-work';

/** Estimates the prompt tokens from the size of the prompt. */
const BYTES_PER_TOKEN = 4;

/** Parameters that are forwarded to engines. All others are dropped. */
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

function invalidRequest(field: string, reason: string): RelayError {
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
    throw invalidRequest(field, `expected a ${type}`);
  }
  return value as { boolean: boolean; number: number; string: string }[Type];
}

/** Decodes chat and text completion requests of the OpenAI API. */
export class OpenAiFrontEnd extends HttpFrontEnd {
  override async decode(received: ReceivedRequest<IncomingMessage>): Promise<ModelCall> {
    const { request } = received;
    const { path } = readTarget(request);
    const identity = authenticateCaller(this.view, readKeyText(request));
    const body = await this.readBody(request);
    const decoded = decodeJsonObject(readContentType(request), body);
    return this.toCall(received, identity, path, decoded);
  }

  private toCall(
    received: ReceivedRequest<IncomingMessage>,
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
      throw invalidRequest('model', 'a model is required');
    }
    const classOfWork = this.selectClass(received.request, identity, model);
    const parameters = OpenAiFrontEnd.allowedParameters(operation, body);
    const { requestIdentifier, arrivalMilliseconds } = received;
    const streamOptions = body.stream_options as { include_usage?: unknown } | undefined;
    return {
      kind: WorkKind.Model,
      requestIdentifier,
      accountName: identity.account.name,
      keyIdentifier: identity.key.identifier,
      className: classOfWork.name,
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
      prefixKeys: computePrefixKeys(identity.account.name, OpenAiFrontEnd.promptText(parameters)),
    };
  }

  private selectClass(request: IncomingMessage, identity: Identity, model: string): ClassOfWork {
    const { declarations } = this.view;
    const requestedName = request.headers[CLASS_HEADER];
    if (typeof requestedName === 'string') {
      const classOfWork = declarations.classes.get(requestedName);
      if (classOfWork === undefined || !classOfWork.servesModel(model)) {
        throw new RelayError({
          kind: FailureKind.NotFound,
          subject: 'class of work',
          name: requestedName,
        });
      }
      assertAuthorized(identity.account, classOfWork);
      return classOfWork;
    }
    for (const name of identity.account.classNames) {
      const classOfWork = declarations.classes.get(name);
      if (classOfWork?.servesModel(model) === true) {
        return classOfWork;
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
      throw invalidRequest('messages', 'expected an array of messages');
    }
    if (!isChat && typeof body.prompt !== 'string') {
      throw invalidRequest('prompt', 'expected a string');
    }
    const parameters: Record<string, JsonValue> = {};
    for (const name of ALLOWED_PARAMETERS) {
      const value = body[name];
      if (value !== undefined && value !== null) {
        parameters[name] = value as JsonValue;
      }
    }
    assertNoAccessKey('body', JSON.stringify(parameters));
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
