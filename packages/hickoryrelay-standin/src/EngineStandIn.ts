import { createHash } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import type { ServerResponse } from 'node:http';
import { JsonServer } from './JsonServer.js';

import type { JsonAnswer, ReceivedRequest } from './JsonServer.js';

/** Service times of an engine stand-in. */
export interface EngineTimes {
  /** Prompt tokens a second. */
  readonly prefillRate: number;
  /** Time between two tokens of one stream, in milliseconds. */
  readonly decodeMilliseconds: number;
}

interface CompletionBody {
  readonly model: string;
  readonly stream?: boolean;
  readonly request_id?: string;
  readonly max_tokens?: number;
  readonly messages?: unknown;
  readonly prompt?: unknown;
}

const WORDS = ['swing', 'weight', 'plumb', 'north', 'arc', 'drift', 'wire', 'floor'];
const DEFAULT_MAX_TOKENS = 16;
const BYTES_PER_TOKEN = 4;
const MILLISECONDS_PER_SECOND = 1000;

/** The text that the stand-in gives for a prompt: the same for every engine. */
export function completionWords(prompt: string, count: number): string[] {
  const seed = createHash('sha256').update(prompt).digest().readUInt32BE(0);
  return Array.from({ length: count }, (empty, index) => {
    const word = WORDS[(seed + index * 5) % WORDS.length];
    return `${word}-${index} `;
  });
}

/** A stand-in for a model engine with the OpenAI-style interface. */
export class EngineStandIn extends JsonServer {
  /** Headers and bodies of every request received, to search for secrets. */
  readonly received: ReceivedRequest[] = [];

  private readonly times: EngineTimes;

  private readonly models: readonly string[];

  constructor(models: readonly string[], times: EngineTimes) {
    super();
    this.models = models;
    this.times = times;
  }

  protected override async answer(request: ReceivedRequest): Promise<JsonAnswer> {
    if (request.path === '/v1/models') {
      return { status: 200, body: { data: this.models.map((id) => ({ id })) } };
    }
    const body = this.accept(request);
    if (body === undefined) {
      return { status: 404, body: { error: { message: 'unknown model or path' } } };
    }
    const words = await this.prefill(body);
    await sleep(words.length * this.times.decodeMilliseconds);
    const text = words.join('');
    const choice = request.path.startsWith('/v1/chat')
      ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: 'stop' }
      : { index: 0, text, finish_reason: 'stop' };
    return {
      status: 200,
      body: {
        id: body.request_id,
        object: request.path.startsWith('/v1/chat') ? 'chat.completion' : 'text_completion',
        created: 0,
        model: body.model,
        choices: [choice],
        usage: EngineStandIn.usage(body, words.length),
      },
    };
  }

  protected override async handleStream(
    request: ReceivedRequest,
    response: ServerResponse,
  ): Promise<boolean> {
    if (request.method !== 'POST' || !request.text.includes('"stream":true')) {
      return false;
    }
    const body = this.accept(request);
    if (body === undefined) {
      return false;
    }
    const isChat = request.path.startsWith('/v1/chat');
    const words = await this.prefill(body);
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    const common = {
      id: body.request_id,
      object: isChat ? 'chat.completion.chunk' : 'text_completion',
      created: 0,
      model: body.model,
    };
    for (const word of words) {
      if (response.destroyed) {
        return true;
      }
      const choice = isChat
        ? { index: 0, delta: { content: word }, finish_reason: null }
        : { index: 0, text: word, finish_reason: null };
      response.write(`data: ${JSON.stringify({ ...common, choices: [choice] })}\n\n`);
      await sleep(this.times.decodeMilliseconds);
    }
    const last = isChat
      ? { index: 0, delta: {}, finish_reason: 'stop' }
      : { index: 0, text: '', finish_reason: 'stop' };
    response.write(`data: ${JSON.stringify({ ...common, choices: [last] })}\n\n`);
    const usage = EngineStandIn.usage(body, words.length);
    response.write(`data: ${JSON.stringify({ ...common, choices: [], usage })}\n\n`);
    response.end('data: [DONE]\n\n');
    return true;
  }

  private accept(request: ReceivedRequest): CompletionBody | undefined {
    this.received.push(request);
    if (!request.path.endsWith('/completions')) {
      return undefined;
    }
    const body = JSON.parse(request.text) as CompletionBody;
    return this.models.includes(body.model) ? body : undefined;
  }

  private async prefill(body: CompletionBody): Promise<string[]> {
    const prompt = EngineStandIn.promptOf(body);
    const tokens = EngineStandIn.promptTokens(body);
    await sleep((tokens / this.times.prefillRate) * MILLISECONDS_PER_SECOND);
    return completionWords(prompt, body.max_tokens ?? DEFAULT_MAX_TOKENS);
  }

  private static promptOf(body: CompletionBody): string {
    return JSON.stringify(body.messages ?? body.prompt);
  }

  private static promptTokens(body: CompletionBody): number {
    return Math.max(1, Math.ceil(EngineStandIn.promptOf(body).length / BYTES_PER_TOKEN));
  }

  private static usage(body: CompletionBody, completionTokens: number): object {
    const promptTokens = EngineStandIn.promptTokens(body);
    return {
      prompt_tokens: promptTokens,
      completion_tokens: completionTokens,
      total_tokens: promptTokens + completionTokens,
    };
  }
}
