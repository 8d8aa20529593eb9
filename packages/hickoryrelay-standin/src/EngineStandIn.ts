import { createHash, randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import { SystemClock } from 'hickoryrelay/Clock';
import { OrderProgress } from 'hickoryrelay-endpoint/EndpointOrder';
import { EngineRole } from 'hickoryrelay-endpoint/Engine';
import { RATE_LIMIT_POLICY_HEADER } from 'hickoryrelay-link/RateLimitPolicy';

import { CacheEventLog } from './CacheEventLog.js';
import { FOREIGN_REQUEST_IDENTIFIER, CompletionStream } from './CompletionStream.js';
import { EngineOrderReceiver } from './EngineOrderReceiver.js';
import { FaultKind } from './FaultTally.js';
import { GenerationTable } from './GenerationTable.js';
import { JsonServer } from './JsonServer.js';
import { PrefixCacheModel } from './PrefixCacheModel.js';
import { StreamFault } from './StreamFault.js';
import type { CompletionBody } from './CompletionStream.js';
import type { JsonResponse, ReceivedRequest } from './JsonServer.js';
import type { PlannedStreamFault } from './StreamFault.js';
import type { ServerResponse } from 'node:http';

/** Speed of an engine stand-in. */
export interface EngineTimes {
  /** Prompt tokens per second. */
  readonly prefillRate: number;
  /** Time between two tokens of one stream. */
  readonly decodeMilliseconds: number;
}

/** Figures that an engine stand-in reports for `GET /load`. */
export interface EngineLoadFigures {
  /** Role that applies until an order changes it. */
  readonly role: EngineRole;
  /** Prompt tokens per second. */
  readonly prefillRate: number;
  /** Generated tokens per second, over all streams. */
  readonly decodeRate: number;
}

const WORDS = ['swing', 'weight', 'plumb', 'north', 'arc', 'drift', 'wire', 'floor'];
const DEFAULT_MAX_TOKENS = 16;
const BYTES_PER_TOKEN = 4;
const MILLISECONDS_PER_SECOND = 1000;
/** Reported only: the stand-in does not limit the number of concurrent calls. */
const REPORTED_SLOTS = 256;
const CALL_TIME_WEIGHT = 0.1;
const DEFAULT_CACHE_TOKENS = 160_000;
const REQUESTS_PATH = '/requests/';
/** Window of a stated rate limit, which allows for tenths of a request per second. */
const RATE_WINDOW_SECONDS = 10;

/**
 * Returns the words that every engine stand-in generates for a prompt. They depend only on the prompt,
 * so that another engine can resume the completion.
 */
export function completionWords(prompt: string, count: number): string[] {
  const seed = createHash('sha256').update(prompt).digest().readUInt32BE(0);
  return Array.from({ length: count }, (empty, index) => {
    const word = WORDS[(seed + index * 5) % WORDS.length];
    return `${word}-${index} `;
  });
}

const STREAM_FAULT_KINDS = {
  [StreamFault.Crash]: FaultKind.EngineCrash,
  [StreamFault.Stall]: FaultKind.StalledEngine,
  [StreamFault.CloseEarly]: FaultKind.EarlyClose,
  [StreamFault.ForeignChunk]: FaultKind.ForeignChunk,
  [StreamFault.RepeatedChunk]: FaultKind.RepeatedChunk,
  [StreamFault.MissingChunk]: FaultKind.MissingChunk,
} as const;

/** Stand-in for a model engine with an OpenAI-compatible interface. */
export class EngineStandIn extends JsonServer {
  /** Every request received. Tests search the headers and bodies for leaked secrets. */
  readonly received: ReceivedRequest[] = [];

  /** Whether each token carries its index in the completion. */
  includesTokenIndex = true;

  /** Replaces the measured figures of `GET /load`. */
  load: EngineLoadFigures | undefined;

  /** Whether `GET /cache_events` is offered. */
  publishesCacheEvents = true;

  /** Whether events are published after each prompt. If false, tests publish with `cacheEvents`. */
  publishesImmediately = true;

  /** Number of open responses that have stalled. */
  stalledResponses = 0;

  private readonly plannedFaults: (readonly PlannedStreamFault[])[] = [];

  private readonly generations = new GenerationTable();

  /** Prompts that are being processed. */
  private readonly prefilling = new Set<{ readonly tokens: number }>();

  private runningCalls = 0;

  private callMilliseconds = 0;

  private cache = new PrefixCacheModel(DEFAULT_CACHE_TOKENS);

  private log = this.createEventLog();

  private readonly times: EngineTimes;

  private readonly models: readonly string[];

  readonly orders = new EngineOrderReceiver(new SystemClock(), { fencing: true, deadline: true });

  constructor(models: readonly string[], times: EngineTimes) {
    super();
    this.models = models;
    this.times = times;
  }

  /** Names a rate limit in all responses from now on; undefined for none. */
  set rateLimit(requestsPerSecond: number | undefined) {
    if (requestsPerSecond === undefined) {
      this.responseHeaders.delete(RATE_LIMIT_POLICY_HEADER);
    } else {
      const quota = Math.round(requestsPerSecond * RATE_WINDOW_SECONDS);
      this.responseHeaders.set(
        RATE_LIMIT_POLICY_HEADER,
        `"stated";q=${quota};w=${RATE_WINDOW_SECONDS}`,
      );
    }
  }

  /** Published events of the prefix cache. Tests use it to delay or drop events. */
  get cacheEvents(): CacheEventLog {
    return this.log;
  }

  /** Empties the prefix cache and starts a new event sequence, as a process restart does. */
  restartCache(cacheTokens = DEFAULT_CACHE_TOKENS): void {
    this.cache = new PrefixCacheModel(cacheTokens);
    this.log = this.createEventLog();
  }

  /** Queues faults for a generation. Each generation takes the faults of one call. */
  planFaults(...faults: readonly PlannedStreamFault[]): void {
    this.plannedFaults.push(faults);
  }

  /** Returns the tokens generated for a request by all its attempts, or undefined if unknown. */
  generatedTokens(requestIdentifier: string): number | undefined {
    return this.generations.tokens(requestIdentifier);
  }

  protected override async answer(request: ReceivedRequest): Promise<JsonResponse> {
    if (request.path === '/v1/models') {
      return { status: 200, body: { data: this.models.map((id) => ({ id })) } };
    }
    if (request.method === 'GET' && request.path.startsWith(REQUESTS_PATH)) {
      return this.generations.answer(request.path.slice(REQUESTS_PATH.length));
    }
    if (request.method === 'GET' && request.path === '/load') {
      return { status: 200, body: this.loadReport() };
    }
    if (request.path === '/cache_events' && this.publishesCacheEvents) {
      return this.log.answer(request.query);
    }
    if (request.path.startsWith('/orders')) {
      return this.orders.answer(request);
    }
    const body = this.recordRequest(request);
    if (body === undefined) {
      return { status: 404, body: { error: { message: 'unknown model or path' } } };
    }
    return this.measureCall(async () => {
      const words = await this.prefill(body);
      await sleep(words.length * this.times.decodeMilliseconds);
      this.countGenerated(body, words.length);
      return { status: 200, body: EngineStandIn.completionResponse(request, body, words) };
    });
  }

  protected override async handleStream(
    request: ReceivedRequest,
    response: ServerResponse,
  ): Promise<boolean> {
    const faults = request.method === 'POST' ? this.plannedFaults[0] : undefined;
    const isStream = request.method === 'POST' && request.text.includes('"stream":true');
    if (!isStream && faults === undefined) {
      return false;
    }
    const body = this.recordRequest(request);
    if (body === undefined) {
      return false;
    }
    this.plannedFaults.shift();
    return this.measureCall(() => this.stream(request, response, body, isStream, faults));
  }

  private async stream(
    request: ReceivedRequest,
    response: ServerResponse,
    body: CompletionBody,
    isStream: boolean,
    faults: readonly PlannedStreamFault[] | undefined,
  ): Promise<boolean> {
    const words = await this.prefill(body);
    if (!isStream) {
      return this.sendFaultyResponse(request, response, body, words, faults?.[0]?.fault);
    }
    const resume = body.resume ?? { delivered_tokens: 0, delivered_text: '' };
    const isResumable = words.slice(0, resume.delivered_tokens).join('') === resume.delivered_text;
    if (!isResumable) {
      response.writeHead(409, { 'content-type': 'application/json' });
      response.end('{"error":{"message":"the delivered text does not fit the prompt"}}');
      return true;
    }
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    const isChat = request.path.startsWith('/v1/chat');
    const stream = new CompletionStream(response, body, isChat, this.includesTokenIndex);
    const promptTokens = EngineStandIn.promptTokens(body);
    const endGeneration = this.generations.begin(body.request_id ?? '', promptTokens);
    try {
      await this.generate(stream, words, resume.delivered_tokens, faults ?? []);
    } finally {
      endGeneration();
    }
    return true;
  }

  /** Sends the tokens from `firstToken` on and applies the planned faults. */
  private async generate(
    stream: CompletionStream,
    words: readonly string[],
    firstToken: number,
    faults: readonly PlannedStreamFault[],
  ): Promise<void> {
    for (let index = firstToken; index <= words.length; index += 1) {
      const fault = faults.find((each) => each.afterTokens === index - firstToken)?.fault;
      if (fault !== undefined && this.applyFault(fault, stream, words, index)) {
        return;
      }
      const word = words[index];
      if (word !== undefined) {
        this.countGenerated(stream.body, index + 1);
        if (fault !== StreamFault.MissingChunk) {
          await stream.sendToken(index, word);
        }
        if (this.times.decodeMilliseconds > 0) {
          await sleep(this.times.decodeMilliseconds);
        }
      }
      if (stream.isClosed) {
        return;
      }
    }
    stream.sendEnd(words.length, EngineStandIn.usage(stream.body, words.length));
  }

  /** Applies a fault. Returns whether it ends the generation. */
  private applyFault(
    fault: StreamFault,
    stream: CompletionStream,
    words: readonly string[],
    index: number,
  ): boolean {
    const isRepeatOfNothing = fault === StreamFault.RepeatedChunk && index === 0;
    const isGapAfterEnd = fault === StreamFault.MissingChunk && index >= words.length;
    if (!stream.isClosed && !isRepeatOfNothing && !isGapAfterEnd) {
      this.tally.count(STREAM_FAULT_KINDS[fault]);
    }
    switch (fault) {
      case StreamFault.Crash:
        stream.crash();
        return true;
      case StreamFault.CloseEarly:
        stream.close();
        return true;
      case StreamFault.Stall:
        this.trackStalledResponse(stream.response);
        return true;
      case StreamFault.ForeignChunk:
        stream.sendForeignChunk(index);
        return false;
      case StreamFault.RepeatedChunk:
        stream.repeatToken(Math.max(0, index - 1), words[Math.max(0, index - 1)] ?? '', index > 0);
        return false;
      default:
        return false;
    }
  }

  /** Responds to a request without streaming and applies a fault to the response. */
  private sendFaultyResponse(
    request: ReceivedRequest,
    response: ServerResponse,
    body: CompletionBody,
    words: readonly string[],
    fault: StreamFault | undefined,
  ): boolean {
    this.countGenerated(body, words.length);
    const isForeign = fault === StreamFault.ForeignChunk;
    const isStreamedOnly =
      fault === StreamFault.RepeatedChunk || fault === StreamFault.MissingChunk;
    if (fault !== undefined && !isStreamedOnly) {
      this.tally.count(STREAM_FAULT_KINDS[fault]);
    }
    const owner = isForeign ? { ...body, request_id: FOREIGN_REQUEST_IDENTIFIER } : body;
    const text = JSON.stringify(EngineStandIn.completionResponse(request, owner, words));
    response.writeHead(200, { 'content-type': 'application/json' });
    if (fault === StreamFault.Stall) {
      response.write(text.slice(0, text.length / 2));
      this.trackStalledResponse(response);
    } else if (fault === StreamFault.Crash) {
      response.write(text.slice(0, text.length / 2), () => response.destroy());
    } else if (fault === StreamFault.CloseEarly) {
      response.end(text.slice(0, text.length / 2));
    } else {
      response.end(text);
    }
    return true;
  }

  private trackStalledResponse(response: ServerResponse): void {
    if (response.destroyed) {
      return;
    }
    this.stalledResponses += 1;
    response.once('close', () => {
      this.stalledResponses -= 1;
    });
  }

  private async measureCall<Result>(run: () => Promise<Result>): Promise<Result> {
    const started = performance.now();
    this.runningCalls += 1;
    try {
      return await run();
    } finally {
      this.runningCalls -= 1;
      const taken = performance.now() - started;
      this.callMilliseconds += CALL_TIME_WEIGHT * (taken - this.callMilliseconds);
    }
  }

  private loadReport(): object {
    const orders = this.orders.taken.map(({ issued }) => issued.order);
    const last = orders.findLast((order) => order.type === 'change-role');
    const { role, prefillRate, decodeRate } = this.load ?? this.measuredLoadFigures();
    return {
      running: this.runningCalls,
      waiting: 0,
      slots: REPORTED_SLOTS,
      waiting_prefill_tokens: [...this.prefilling].reduce((sum, each) => sum + each.tokens, 0),
      prefill_rate: prefillRate,
      decode_rate: decodeRate,
      call_milliseconds: this.callMilliseconds,
      age_milliseconds: 0,
      role: last?.type === 'change-role' ? last.role : role,
      is_changing: this.orders.state().progress === OrderProgress.Running,
    };
  }

  /** Streams do not slow each other down, and no time between tokens is below 1 ms here. */
  private measuredLoadFigures(): EngineLoadFigures {
    const streams = Math.max(1, this.runningCalls);
    const tokenMilliseconds = Math.max(1, this.times.decodeMilliseconds);
    return {
      role: EngineRole.Mixed,
      prefillRate: this.times.prefillRate,
      decodeRate: (streams * MILLISECONDS_PER_SECOND) / tokenMilliseconds,
    };
  }

  private countGenerated(body: CompletionBody, tokens: number): void {
    this.generations.record(body.request_id ?? '', tokens);
  }

  private static completionResponse(
    request: ReceivedRequest,
    body: CompletionBody,
    words: readonly string[],
  ): object {
    const isChat = request.path.startsWith('/v1/chat');
    const text = words.join('');
    const choice = isChat
      ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: 'stop' }
      : { index: 0, text, finish_reason: 'stop' };
    return {
      id: body.request_id,
      object: isChat ? 'chat.completion' : 'text_completion',
      created: 0,
      model: body.model,
      choices: [choice],
      usage: EngineStandIn.usage(body, words.length),
    };
  }

  private recordRequest(request: ReceivedRequest): CompletionBody | undefined {
    this.received.push(request);
    if (!request.path.endsWith('/completions')) {
      return undefined;
    }
    const body = JSON.parse(request.text) as CompletionBody;
    return this.models.includes(body.model) ? body : undefined;
  }

  private async prefill(body: CompletionBody): Promise<string[]> {
    const text = EngineStandIn.promptOf(body);
    const tokens = EngineStandIn.promptTokens(body);
    const prompt = { tokens };
    this.prefilling.add(prompt);
    await sleep((tokens / this.times.prefillRate) * MILLISECONDS_PER_SECOND);
    this.prefilling.delete(prompt);
    this.cachePrefix(body.prefix_keys ?? []);
    return completionWords(text, body.max_tokens ?? DEFAULT_MAX_TOKENS);
  }

  /** Adds the prefix keys of a prompt to the prefix cache. */
  cachePrefix(keys: readonly string[]): void {
    this.cache.insert(keys);
    if (this.publishesImmediately) {
      this.log.publish();
    }
  }

  private createEventLog(): CacheEventLog {
    return new CacheEventLog(this.cache, randomUUID());
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
