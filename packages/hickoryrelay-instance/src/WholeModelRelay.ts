import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { readWholeAnswer } from 'hickoryrelay-link/EngineEvents';

import { AnswerRelay } from './AnswerRelay.js';
import { assertEngineAnswers, isCallersFault, relayRefusal } from './EngineStatus.js';
import { HeldAnswer } from './HeldAnswer.js';
import type { AnswerWriter } from './AnswerWriter.js';
import type { Attempt } from './Attempt.js';
import type { ModelCall } from 'hickoryrelay-link/Call';
import type { CallFigures } from 'hickoryrelay-usage/CallMeter';

interface CheckedAnswer {
  readonly body: Buffer;
  readonly figures: CallFigures;
}

/** Holds a model answer that is not streamed back until it is complete, and retries it. */
export class WholeModelRelay extends AnswerRelay<ModelCall> {
  override async relay(writer: AnswerWriter): Promise<void> {
    try {
      for (;;) {
        const attempt = await this.attempts.open();
        const { status, contentType } = attempt.answer;
        if (isCallersFault(status)) {
          await relayRefusal(attempt, this.parts, this.metering, writer, this.attempts.signal);
          return;
        }
        const checked = await this.collect(attempt);
        if (checked !== undefined) {
          await this.metering.close(checked.figures);
          writer.begin(status, contentType);
          await writer.write(checked.body, this.attempts.signal);
          await writer.end();
          return;
        }
      }
    } finally {
      await this.metering.close({ promptTokens: 0, completionTokens: 0 });
    }
  }

  /** Returns the answer of an attempt, or undefined if it broke and may be tried again. */
  private async collect(attempt: Attempt): Promise<CheckedAnswer | undefined> {
    const held = new HeldAnswer(this.parts.memory, this.parts.limits.maximumBufferedModelBytes);
    try {
      assertEngineAnswers(attempt);
      for await (const piece of attempt.answer.pieces) {
        if (!held.tryAdd(piece)) {
          throw WholeModelRelay.broken(attempt, 'the answer is too large to be held back');
        }
        attempt.resumeDeadline();
      }
      return this.check(attempt, held.take());
    } catch (error) {
      attempt.fail(error);
      this.attempts.recordFailure(attempt.endpoint, error);
      return undefined;
    } finally {
      held.drop();
      await attempt.end();
    }
  }

  private check(attempt: Attempt, body: Buffer): CheckedAnswer {
    const answer = readWholeAnswer(body);
    if (answer === undefined) {
      throw WholeModelRelay.broken(attempt, 'the answer is not complete');
    }
    if (answer.requestIdentifier !== this.call.requestIdentifier) {
      this.parts.counters.mismatchedEvents += 1;
      throw WholeModelRelay.broken(attempt, 'the answer belongs to another request');
    }
    return { body, figures: answer.usage };
  }

  private static broken(attempt: Attempt, reason: string): RelayError {
    const endpoint = attempt.endpoint.identifier;
    return new RelayError({
      kind: FailureKind.EndpointFailed,
      endpoint,
      reason,
      mayHaveRun: true,
    });
  }
}
