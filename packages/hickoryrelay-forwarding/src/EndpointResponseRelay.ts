import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { summarizePrompt } from './EnginePlacement.js';

import type { CallContext } from './CallContext.js';
import type { EndpointResponse } from './EndpointLink.js';
import type { OpenAttempt } from './OpenAttempt.js';

/** Watches a response that is being relayed. */
export interface RelayObserver {
  /** Called when a part has arrived, before it is written to the caller, which may be slow to read. */
  onArrival(): void;
  /** Called when a part has been written. The next one is waited for if the stream can be resumed. */
  onWritten(isFirst: boolean): void;
}

/** Relays the response of an endpoint to the caller of one request. */
export abstract class EndpointResponseRelay {
  protected readonly call: CallContext;

  protected readonly attempt: OpenAttempt;

  protected readonly response: EndpointResponse;

  constructor(call: CallContext, attempt: OpenAttempt, response: EndpointResponse) {
    this.call = call;
    this.attempt = attempt;
    this.response = response;
  }

  get status(): number {
    return this.response.status;
  }

  /**
   * Reads what the endpoint has to deliver before the request is its own. Nothing is written to the
   * caller.
   */
  abstract prepare(): Promise<void>;

  /** Writes the response to the caller until it is complete. Called once, after `prepare`. */
  abstract relay(observer: RelayObserver): Promise<void>;

  /** Closes the response. Has no effect on a complete one. */
  abstract discard(): void;

  /**
   * Records the time to the first byte. The request has begun to run, so its usage is counted, unless the
   * response states otherwise.
   */
  protected recordFirstByte(): void {
    if (this.response.isNotRun) {
      return;
    }
    const { state, prefillMilliseconds, prefillTokens } = this.attempt.destination;
    const { sentMilliseconds } = this.attempt;
    const { clock, prefillRate } = this.call.parts;
    const now = clock.monotonicMilliseconds();
    this.attempt.recordBegin();
    const expectedMilliseconds = this.call.isGeneration
      ? prefillMilliseconds
      : (state.speed.responseMilliseconds ?? 0);
    state.recordDelay(Math.max(0, now - sentMilliseconds - expectedMilliseconds), now);
    if (this.call.isGeneration) {
      prefillRate.recordLocal(prefillTokens, now - sentMilliseconds, state.speed.relative);
      this.call.recordCachedSegment(state, summarizePrompt(this.call.request.promptSegments));
    }
    this.call.trace.firstByteMilliseconds ??= now - this.call.request.arrivedMilliseconds;
    this.attempt.recordUsage(now);
  }

  /** Counts bytes that have been processed and are kept. */
  protected retain(bytes: number): void {
    this.response.account?.setRetained(bytes);
  }

  /** Records that an event is complete or that a part has been delivered. */
  protected recordProgress(): void {
    this.response.account?.recordProgress(this.call.parts.clock.monotonicMilliseconds());
  }

  /** Writes to the caller. Does not wait for it beyond the deadline. */
  protected write(bytes: Buffer): Promise<void> {
    const { sink, deadline } = this.call;
    return sink.write(bytes, deadline.signal);
  }

  protected failure(reason: string): RelayError {
    const endpoint = this.attempt.state.record.identifier;
    return new RelayError({
      kind: FailureKind.EndpointFailed,
      endpoint,
      reason,
      mayHaveRun: true,
    });
  }
}
