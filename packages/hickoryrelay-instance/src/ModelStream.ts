import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { EngineEventKind } from 'hickoryrelay-link/EngineEventReader';

import { DeliveredText } from './DeliveredText.js';
import type { ExchangeCounters } from './ExchangeCounters.js';
import type { ResponseMemoryBudget } from './ResponseMemoryBudget.js';
import type { ModelCall } from 'hickoryrelay-link/Call';
import type { ResumePoint } from 'hickoryrelay-link/EndpointLink';
import type { EngineEvent, EngineUsage } from 'hickoryrelay-link/EngineEventReader';
import type { TokenCounts } from 'hickoryrelay-usage/CallMeter';

/**
 * State of one model stream as delivered to the caller, across all attempts. Decides whether each
 * event is forwarded, so that the caller receives every token exactly once and in order.
 */
export class ModelStream {
  private readonly call: ModelCall;

  private readonly counters: ExchangeCounters;

  private readonly text: DeliveredText;

  /** Identifier of the endpoint of the latest attempt. */
  private endpoint = '';

  private tokens = 0;

  private hasOpened = false;

  private hasFinished = false;

  private hasForwardedUsage = false;

  private hasReceivedDone = false;

  private isPlainText = true;

  private usage: EngineUsage | undefined;

  constructor(
    call: ModelCall,
    counters: ExchangeCounters,
    memoryBudget: ResponseMemoryBudget,
    maximumResumeTextBytes: number,
  ) {
    this.call = call;
    this.counters = counters;
    this.text = new DeliveredText(memoryBudget, maximumResumeTextBytes);
  }

  get deliveredTokens(): number {
    return this.tokens;
  }

  /** True once the engine has sent the end-of-stream event. */
  get isComplete(): boolean {
    return this.hasReceivedDone;
  }

  /**
   * Returns the point at which the next attempt resumes, or undefined if nothing was delivered.
   * Throws `endpoint-failed` if the stream cannot be resumed.
   */
  resumePoint(): ResumePoint | undefined {
    if (this.tokens === 0 && !this.hasFinished) {
      return undefined;
    }
    const deliveredText = this.text.value;
    if (!this.isPlainText || deliveredText === undefined) {
      throw this.createFailure('the stream was interrupted and cannot be resumed');
    }
    return { deliveredTokens: this.tokens, deliveredText };
  }

  /**
   * Token counts to charge: those of the engine, or the delivered tokens if they are more or the
   * engine reported none. The prompt is charged once any token has been delivered.
   */
  get tokenCounts(): TokenCounts {
    const promptTokens = this.tokens > 0 ? this.call.promptTokens : 0;
    return {
      promptTokens: this.usage?.promptTokens ?? promptTokens,
      completionTokens: Math.max(this.tokens, this.usage?.completionTokens ?? 0),
    };
  }

  /** Sets the endpoint that the next events come from. */
  beginAttempt(endpoint: string): void {
    this.endpoint = endpoint;
  }

  /** Returns true if the event is to be forwarded. Throws if tokens before it are missing. */
  accepts(event: EngineEvent): boolean {
    if (event.kind === EngineEventKind.Comment) {
      return false;
    }
    if (event.kind === EngineEventKind.Done) {
      return this.acceptsDone();
    }
    if (event.requestIdentifier !== this.call.requestIdentifier) {
      this.counters.mismatchedEvents += 1;
      return false;
    }
    switch (event.kind) {
      case EngineEventKind.Token:
        return this.acceptsToken(event);
      case EngineEventKind.Finish:
        return this.acceptsFinish(event);
      case EngineEventKind.Usage:
        return this.acceptsUsage(event);
      default:
        return this.acceptsOpening();
    }
  }

  /** Releases the memory of the delivered text. */
  release(): void {
    this.text.discard();
  }

  private acceptsOpening(): boolean {
    const isFirst = !this.hasOpened;
    this.hasOpened = true;
    return isFirst;
  }

  private acceptsToken(event: EngineEvent): boolean {
    if (!this.isNew(event)) {
      return false;
    }
    this.hasOpened = true;
    this.tokens += 1;
    this.isPlainText &&= event.isPlainText;
    this.text.append(event.text);
    return true;
  }

  private acceptsFinish(event: EngineEvent): boolean {
    if (!this.isNew(event)) {
      return false;
    }
    if (event.text !== '') {
      this.tokens += 1;
      this.text.append(event.text);
    }
    this.hasFinished = true;
    return true;
  }

  private acceptsUsage(event: EngineEvent): boolean {
    this.usage = event.usage;
    const shouldForward = this.call.includesUsage && !this.hasForwardedUsage;
    this.hasForwardedUsage = true;
    return shouldForward;
  }

  private acceptsDone(): boolean {
    if (!this.hasFinished) {
      throw this.createFailure('the stream ended without a finish reason');
    }
    this.hasReceivedDone = true;
    return true;
  }

  /** Detects duplicate and missing tokens, if the engine numbers its tokens. */
  private isNew(event: EngineEvent): boolean {
    const { tokenIndex } = event;
    if (this.hasFinished || (tokenIndex !== undefined && tokenIndex < this.tokens)) {
      this.counters.duplicateEvents += 1;
      return false;
    }
    if (tokenIndex !== undefined && tokenIndex > this.tokens) {
      throw this.createFailure(`tokens ${this.tokens} to ${tokenIndex - 1} are missing`);
    }
    return true;
  }

  private createFailure(reason: string): RelayError {
    const { endpoint } = this;
    return new RelayError({
      kind: FailureKind.EndpointFailed,
      endpoint,
      reason,
      mayHaveRun: true,
    });
  }
}
