import { FailureKind } from 'hickoryrelay/Failure';
import { failureOf, RelayError } from 'hickoryrelay/RelayError';
import { EngineEventReader } from 'hickoryrelay-link/EngineEvents';

import { AnswerRelay } from './AnswerRelay.js';
import { assertEngineAnswers, isCallersFault, relayRefusal } from './EngineStatus.js';
import { ModelStream } from './ModelStream.js';
import type { AnswerWriter } from './AnswerWriter.js';
import type { Attempt } from './Attempt.js';
import type { CallAttempts } from './CallAttempts.js';
import type { CallMetering } from './CallMetering.js';
import type { ExchangeParts } from './Exchange.js';
import type { ModelCall } from 'hickoryrelay-link/Call';

/** What of a piece goes to the caller, and the failure that ended the reading, if any. */
interface AcceptedBytes {
  readonly bytes: Buffer | undefined;
  readonly error: RelayError | undefined;
}

/** Relays a model stream, and resumes it on the same or another engine when it breaks. */
export class ModelStreamRelay extends AnswerRelay<ModelCall> {
  private readonly stream: ModelStream;

  constructor(
    call: ModelCall,
    parts: ExchangeParts,
    attempts: CallAttempts,
    metering: CallMetering,
  ) {
    super(call, parts, attempts, metering);
    const { counters, memory, limits } = parts;
    this.stream = new ModelStream(call, counters, memory, limits.maximumResumeTextBytes);
  }

  override async relay(writer: AnswerWriter): Promise<void> {
    try {
      while (!this.stream.isComplete) {
        const resume = this.stream.resumePoint();
        if (resume !== undefined) {
          this.parts.counters.resumes += 1;
        }
        const attempt = await this.attempts.open(resume);
        if (!writer.hasBegun && isCallersFault(attempt.answer.status)) {
          await relayRefusal(attempt, this.parts, this.metering, writer, this.attempts.signal);
          return;
        }
        await this.relayAttempt(attempt, writer);
      }
    } finally {
      this.stream.drop();
      await this.metering.close(this.stream.figures);
    }
  }

  /** Passes on the pieces of one attempt until it is complete or breaks. */
  private async relayAttempt(attempt: Attempt, writer: AnswerWriter): Promise<void> {
    this.stream.beginAttempt(attempt.endpoint.identifier);
    try {
      assertEngineAnswers(attempt);
      if (!writer.hasBegun) {
        writer.begin(attempt.answer.status, attempt.answer.contentType);
      }
      await this.relayPieces(attempt, writer);
    } catch (error) {
      attempt.fail(error);
      await attempt.end();
      this.attempts.recordFailure(attempt.endpoint, error);
    }
  }

  private async relayPieces(attempt: Attempt, writer: AnswerWriter): Promise<void> {
    const reader = new EngineEventReader(attempt.endpoint.identifier);
    const { pieces } = attempt.answer;
    let step = await pieces.next();
    while (step.done !== true) {
      attempt.pauseDeadline();
      const { bytes, error } = this.read(reader, step.value);
      if (bytes !== undefined) {
        this.attempts.recordProgress();
        await this.pass(bytes, writer);
      }
      attempt.recordTokens(this.stream.deliveredTokens);
      if (error !== undefined) {
        throw error;
      }
      if (this.stream.isComplete) {
        attempt.finish();
        return;
      }
      attempt.resumeDeadline();
      step = await pieces.next();
    }
    throw new RelayError({
      kind: FailureKind.EndpointFailed,
      endpoint: attempt.endpoint.identifier,
      reason: 'the stream ended early',
      mayHaveRun: true,
    });
  }

  /**
   * Reads the events of a piece. What the stream accepts is passed on also when a later event of
   * the piece is refused. Not asynchronous, because a promise costs about as much as the reading.
   */
  private read(reader: EngineEventReader, piece: Buffer): AcceptedBytes {
    const accepted: Buffer[] = [];
    let error: RelayError | undefined;
    try {
      for (const event of reader.read(piece)) {
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
    return { bytes: accepted.length > 1 ? Buffer.concat(accepted) : accepted[0], error };
  }

  private async pass(bytes: Buffer, writer: AnswerWriter): Promise<void> {
    if (!this.stream.isComplete) {
      this.metering.progress(this.stream.deliveredTokens);
      await writer.write(bytes, this.attempts.signal);
      return;
    }
    await this.metering.close(this.stream.figures);
    await writer.write(bytes, this.attempts.signal);
    await writer.end();
  }
}
