import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { summarizePrompt } from './EnginePlacement.js';
import { EventStreamParser, mayFollow } from './EventStreamParser.js';
import { BUFFERED_RESPONSE_BYTES, STALLED_STREAM_FRACTION } from './ForwardingLimits.js';

import type { AttemptTimeout } from './AttemptTimeout.js';
import type { CallContext, Destination } from './CallContext.js';
import type { EndpointResponse } from './EndpointLink.js';
import type { ServerSentEvent } from './EventStreamParser.js';

/** Relays the responses of endpoints to the caller of one request. */
export class EndpointResponseRelay {
  private readonly call: CallContext;

  /** True if the first response of the stream was delimited by the close of its connection. */
  private isFirstCloseDelimited = false;

  constructor(call: CallContext) {
    this.call = call;
  }

  /** Records the time to the first byte. The request has begun to run, so its usage is counted. */
  private recordFirstByte(destination: Destination, sentMilliseconds: number): void {
    const { state, prefillMilliseconds, prefillTokens } = destination;
    const { clock, prefillRate } = this.call.parts;
    const now = clock.monotonicMilliseconds();
    this.call.recordBegin();
    state.recordDelay(Math.max(0, now - sentMilliseconds - prefillMilliseconds), now);
    if (this.call.isGeneration) {
      prefillRate.recordLocal(prefillTokens, now - sentMilliseconds);
      this.call.recordCachedSegment(state, summarizePrompt(this.call.request.promptSegments));
    }
    this.call.trace.firstByteMilliseconds ??= now - this.call.request.arrivedMilliseconds;
    this.call.recordUsage(now);
  }

  /** Relays a response that is not streamed, buffered until it is complete or exceeds the limit. */
  async relayBuffered(
    destination: Destination,
    response: EndpointResponse,
    sentMilliseconds: number,
  ): Promise<void> {
    const buffered: Buffer[] = [];
    let bufferedBytes = 0;
    for await (const chunk of response.body) {
      if (this.call.sink.hasStarted) {
        await this.call.sink.write(chunk);
      } else {
        buffered.push(chunk);
        bufferedBytes += chunk.length;
        if (bufferedBytes > BUFFERED_RESPONSE_BYTES) {
          await this.startBuffered(response, buffered);
        }
      }
    }
    this.recordFirstByte(destination, sentMilliseconds);
    if (!this.call.sink.hasStarted) {
      await this.startBuffered(response, buffered, bufferedBytes);
    }
    this.call.sink.end();
  }

  /** Starts a response with the buffered chunks. `bufferedLength` is given if they are complete. */
  private async startBuffered(
    response: EndpointResponse,
    buffered: readonly Buffer[],
    bufferedLength?: number,
  ): Promise<void> {
    const length = response.length ?? (response.hasBody ? bufferedLength : undefined);
    this.call.sink.start({ ...response, length });
    this.call.recordUnresumableStart();
    for (const chunk of buffered) {
      await this.call.sink.write(chunk);
    }
  }

  /**
   * Relays complete events only, so that another endpoint can resume the stream after them. Throws
   * `endpoint-failed` if the stream repeats an event or ends inside one. The timeout does not count
   * the time for which the caller is slow to read.
   */
  async relayStream(
    destination: Destination,
    response: EndpointResponse,
    sentMilliseconds: number,
    timeout: AttemptTimeout,
  ): Promise<void> {
    const { clock } = this.call.parts;
    const { state } = destination;
    const parser = new EventStreamParser(state.record.identifier);
    let isFirst = true;
    for await (const chunk of response.body) {
      for (const event of parser.push(chunk)) {
        this.checkOrder(destination, event);
        state.recordActivity(clock.monotonicMilliseconds());
        timeout.pause();
        if (isFirst) {
          this.recordFirstByte(destination, sentMilliseconds);
        }
        this.startStream(response);
        await this.call.sink.write(event.bytes);
        this.call.recordDelivery(event.identifier);
        this.watchForStall(timeout, isFirst);
        isFirst = false;
      }
    }
    timeout.cancel();
    if (parser.isWithinEvent) {
      throw EndpointResponseRelay.failure(destination, 'the stream ended inside an event');
    }
    if (isFirst && response.isCloseDelimited && this.call.lastEvent === undefined) {
      throw EndpointResponseRelay.failure(destination, 'the stream ended before its first event');
    }
    this.startStream(response);
    if (response.isCloseDelimited && !this.isFirstCloseDelimited) {
      throw EndpointResponseRelay.failure(
        destination,
        'the resumed stream ended with its connection, which does not show that it is complete',
      );
    }
    if (parser.remainder.length > 0) {
      await this.call.sink.write(parser.remainder);
    }
    this.call.sink.end();
  }

  private checkOrder(destination: Destination, { identifier }: ServerSentEvent): void {
    const { lastEvent } = this.call;
    if (identifier !== undefined && lastEvent !== undefined && !mayFollow(identifier, lastEvent)) {
      const reason = `event ${identifier.slice(0, 20)} came after event ${lastEvent.slice(0, 20)}`;
      throw EndpointResponseRelay.failure(destination, reason);
    }
  }

  /** After an event, waits for the next one if another endpoint could resume the stream. */
  private watchForStall(timeout: AttemptTimeout, isFirst: boolean): void {
    if (!this.call.isRetryable || !this.call.hasAnotherAttempt) {
      timeout.cancel();
    } else if (isFirst) {
      timeout.start(this.call.deadline.eventTimeoutMilliseconds * STALLED_STREAM_FRACTION);
    } else {
      timeout.recordProgress();
    }
  }

  private static failure({ state }: Destination, reason: string): RelayError {
    const endpoint = state.record.identifier;
    return new RelayError({
      kind: FailureKind.EndpointFailed,
      endpoint,
      reason,
      mayHaveRun: true,
    });
  }

  /** A stream that may be resumed has no stated length, since its bytes may come from two endpoints. */
  private startStream(response: EndpointResponse): void {
    if (!this.call.sink.hasStarted) {
      const { length, isCloseDelimited } = response;
      this.isFirstCloseDelimited = isCloseDelimited;
      this.call.sink.start({ ...response, length: this.call.isResumable ? undefined : length });
    }
  }
}
