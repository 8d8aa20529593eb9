import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { EngineEventKind } from 'hickoryrelay-link/EngineEvents';

import { DeliveredText } from './DeliveredText.js';
import type { AnswerMemory } from './AnswerMemory.js';
import type { ExchangeCounters } from './ExchangeCounters.js';
import type { ModelCall } from 'hickoryrelay-link/Call';
import type { ResumePoint } from 'hickoryrelay-link/EndpointLink';
import type { EngineEvent, EngineUsage } from 'hickoryrelay-link/EngineEvents';
import type { CallFigures } from 'hickoryrelay-usage/CallMeter';

/**
 * One model stream as the caller sees it, over all attempts. Decides for each event whether it goes
 * to the caller, so that the caller gets every token once and in order.
 */
export class ModelStream {
  private readonly call: ModelCall;

  private readonly counters: ExchangeCounters;

  private readonly text: DeliveredText;

  /** The endpoint of the latest attempt. */
  private endpoint = '';

  private tokens = 0;

  private hasOpened = false;

  private hasFinished = false;

  private hasPassedUsage = false;

  private isDone = false;

  private isPlainText = true;

  private usage: EngineUsage | undefined;

  constructor(
    call: ModelCall,
    counters: ExchangeCounters,
    memory: AnswerMemory,
    resumeTextBytes: number,
  ) {
    this.call = call;
    this.counters = counters;
    this.text = new DeliveredText(memory, resumeTextBytes);
  }

  get deliveredTokens(): number {
    return this.tokens;
  }

  /** True once the engine has said that nothing follows. */
  get isComplete(): boolean {
    return this.isDone;
  }

  /**
   * Where the next attempt goes on; undefined if nothing was delivered. Throws `endpoint-failed` if
   * the stream cannot be resumed.
   */
  resumePoint(): ResumePoint | undefined {
    if (this.tokens === 0 && !this.hasFinished) {
      return undefined;
    }
    const deliveredText = this.text.value;
    if (!this.isPlainText || deliveredText === undefined) {
      throw this.broken('the stream broke and cannot be resumed');
    }
    return { deliveredTokens: this.tokens, deliveredText };
  }

  /**
   * The engine's count, or what was delivered if that is more or the engine sent none. A prompt is
   * charged once any token has been delivered.
   */
  get figures(): CallFigures {
    const promptTokens = this.tokens > 0 ? this.call.promptTokens : 0;
    return {
      promptTokens: this.usage?.promptTokens ?? promptTokens,
      completionTokens: Math.max(this.tokens, this.usage?.completionTokens ?? 0),
    };
  }

  /** Records which endpoint the next events come from. */
  beginAttempt(endpoint: string): void {
    this.endpoint = endpoint;
  }

  /** Tells whether the event goes to the caller. Throws if the answer has a gap before it. */
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

  /** Gives the memory for a resume back. */
  drop(): void {
    this.text.drop();
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
    const passesOn = this.call.includesUsage && !this.hasPassedUsage;
    this.hasPassedUsage = true;
    return passesOn;
  }

  private acceptsDone(): boolean {
    if (!this.hasFinished) {
      throw this.broken('the stream ended without a reason');
    }
    this.isDone = true;
    return true;
  }

  /** An engine that numbers its tokens lets repeats and gaps be seen. */
  private isNew(event: EngineEvent): boolean {
    const { tokenIndex } = event;
    if (this.hasFinished || (tokenIndex !== undefined && tokenIndex < this.tokens)) {
      this.counters.duplicateEvents += 1;
      return false;
    }
    if (tokenIndex !== undefined && tokenIndex > this.tokens) {
      throw this.broken(`tokens ${this.tokens} to ${tokenIndex - 1} are missing`);
    }
    return true;
  }

  private broken(reason: string): RelayError {
    const { endpoint } = this;
    return new RelayError({
      kind: FailureKind.EndpointFailed,
      endpoint,
      reason,
      mayHaveRun: true,
    });
  }
}
