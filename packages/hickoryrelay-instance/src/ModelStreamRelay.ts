import { EventStreamAllowance } from 'hickoryrelay/EventStreamAllowance';
import { FailureKind } from 'hickoryrelay/Failure';
import { failureOf, RelayError } from 'hickoryrelay/RelayError';
import { EngineEventReader } from 'hickoryrelay-link/EngineEventReader';

import { assertEngineSucceeded, isClientError, relayClientError } from './EngineStatus.js';
import { ModelStream } from './ModelStream.js';
import { ResponseRelay } from './ResponseRelay.js';
import type { Attempt } from './Attempt.js';
import type { CallAttempts } from './CallAttempts.js';
import type { CallMetering } from './CallMetering.js';
import type { ExchangeParts } from './Exchange.js';
import type { ResponseWriter } from './ResponseWriter.js';
import type { ModelCall } from 'hickoryrelay-link/Call';

/** The bytes of a chunk to forward, and the error that stopped its parsing, if any. */
interface AcceptedBytes {
  readonly bytes: Buffer | undefined;
  /** Events that the chunk has completed, forwarded or not. */
  readonly events: number;
  readonly error: RelayError | undefined;
}

/** Relays a model stream, and resumes it on the same or another engine if it is interrupted. */
export class ModelStreamRelay extends ResponseRelay<ModelCall> {
  private readonly stream: ModelStream;

  constructor(
    call: ModelCall,
    parts: ExchangeParts,
    attempts: CallAttempts,
    metering: CallMetering,
  ) {
    super(call, parts, attempts, metering);
    const { counters, memoryBudget, limits } = parts;
    this.stream = new ModelStream(call, counters, memoryBudget, limits.maximumResumeTextBytes);
  }

  override async relay(writer: ResponseWriter): Promise<void> {
    try {
      while (!this.stream.isComplete) {
        const resume = this.stream.resumePoint();
        if (resume !== undefined) {
          this.parts.counters.resumes += 1;
        }
        const attempt = await this.attempts.open(resume);
        if (!writer.hasBegun && isClientError(attempt.answer.status)) {
          await relayClientError(attempt, this.parts, this.metering, writer, this.attempts.signal);
          return;
        }
        await this.relayAttempt(attempt, writer);
      }
    } finally {
      this.stream.release();
      await this.metering.close(this.stream.tokenCounts);
    }
  }

  /** Forwards the chunks of one attempt until the stream is complete or interrupted. */
  private async relayAttempt(attempt: Attempt, writer: ResponseWriter): Promise<void> {
    this.stream.beginAttempt(attempt.endpoint.identifier);
    try {
      assertEngineSucceeded(attempt);
      if (!writer.hasBegun) {
        writer.begin(attempt.answer.status, attempt.answer.contentType);
      }
      await this.relayChunks(attempt, writer);
    } catch (error) {
      attempt.fail(error);
      await attempt.end();
      this.attempts.recordFailure(attempt.endpoint, error);
    }
  }

  private async relayChunks(attempt: Attempt, writer: ResponseWriter): Promise<void> {
    const reader = new EngineEventReader(attempt.endpoint.identifier);
    const allowance = new EventStreamAllowance(this.parts.clock);
    const { chunks } = attempt.answer;
    let result = await chunks.next();
    while (result.done !== true) {
      attempt.pauseDeadline();
      const { bytes, events, error } = this.readChunk(reader, result.value);
      if (bytes !== undefined) {
        this.attempts.recordProgress();
        await this.forward(bytes, writer);
      }
      attempt.recordTokens(this.stream.deliveredTokens);
      if (error !== undefined) {
        throw error;
      }
      if (this.stream.isComplete) {
        attempt.finish();
        return;
      }
      if (!allowance.tryTake(events, result.value.length)) {
        throw ModelStreamRelay.createFailure(attempt, 'the stream has too many events or bytes');
      }
      attempt.resumeDeadline();
      result = await chunks.next();
    }
    throw ModelStreamRelay.createFailure(
      attempt,
      'the stream ended before its end-of-stream event',
    );
  }

  private static createFailure({ endpoint }: Attempt, reason: string): RelayError {
    return new RelayError({
      kind: FailureKind.EndpointFailed,
      endpoint: endpoint.identifier,
      reason,
      mayHaveRun: true,
    });
  }

  /**
   * Parses the events of a chunk. Accepted events are returned even if a later event of the chunk
   * throws. Synchronous, because a promise costs about as much as the parsing.
   */
  private readChunk(reader: EngineEventReader, chunk: Buffer): AcceptedBytes {
    const accepted: Buffer[] = [];
    let events = 0;
    let error: RelayError | undefined;
    try {
      for (const event of reader.read(chunk)) {
        events += 1;
        if (this.stream.accepts(event)) {
          accepted.push(event.bytes);
        }
        if (this.stream.isComplete) {
          break;
        }
      }
    } catch (caught) {
      error = new RelayError(failureOf(caught), caught);
    }
    return { bytes: accepted.length > 1 ? Buffer.concat(accepted) : accepted[0], events, error };
  }

  private async forward(bytes: Buffer, writer: ResponseWriter): Promise<void> {
    if (!this.stream.isComplete) {
      this.metering.progress(this.stream.deliveredTokens);
      await writer.write(bytes, this.attempts.signal);
      return;
    }
    await this.metering.close(this.stream.tokenCounts);
    await writer.write(bytes, this.attempts.signal);
    await writer.end();
  }
}
