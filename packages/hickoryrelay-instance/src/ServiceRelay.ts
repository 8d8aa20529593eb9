import { FailureKind } from 'hickoryrelay/Failure';
import { hasFailureKind, RelayError } from 'hickoryrelay/RelayError';

import { AnswerRelay } from './AnswerRelay.js';
import { HeldAnswer } from './HeldAnswer.js';
import type { AnswerWriter } from './AnswerWriter.js';
import type { Attempt } from './Attempt.js';
import type { ServiceCall } from 'hickoryrelay-link/Call';
import type { StoredAnswer } from 'hickoryrelay-usage/ClaimRegister';

const NO_TOKENS = { promptTokens: 0, completionTokens: 0 };

/** Relays the answer of a plain service. A call that is not idempotent is sent at most once. */
export class ServiceRelay extends AnswerRelay<ServiceCall> {
  override async relay(writer: AnswerWriter): Promise<void> {
    if (this.call.isIdempotent) {
      await this.send(writer, false);
    } else if (this.call.idempotencyKey === undefined) {
      await this.sendOnce(writer, false);
    } else {
      await this.claimAndSend(writer);
    }
  }

  private async claimAndSend(writer: AnswerWriter): Promise<void> {
    const outcome = await this.parts.claims.claim(this.call);
    if (outcome.kind === 'answered') {
      await this.write(writer, outcome.answer);
      return;
    }
    if (outcome.kind === 'unknown') {
      throw new RelayError({
        kind: FailureKind.ResultUnknown,
        requestIdentifier: outcome.requestIdentifier,
        reason: 'an earlier call with the same idempotency key has not been answered',
      });
    }
    try {
      if (this.attempts.signal.aborted) {
        throw new RelayError({ kind: FailureKind.Cancelled, reason: 'the call was ended' });
      }
      await this.sendOnce(writer, true);
    } catch (error) {
      if (!this.attempts.mayHaveRun) {
        await this.parts.claims.abandon(this.call);
      }
      throw error;
    }
  }

  /** Sends a call that must not run twice. A lost answer becomes `result-unknown`. */
  private async sendOnce(writer: AnswerWriter, isClaimed: boolean): Promise<void> {
    try {
      await this.send(writer, isClaimed);
    } catch (error) {
      if (!this.attempts.mayHaveRun || hasFailureKind(error, FailureKind.ResultUnknown)) {
        throw error;
      }
      throw new RelayError(
        {
          kind: FailureKind.ResultUnknown,
          requestIdentifier: this.call.requestIdentifier,
          reason: 'the call was sent and no complete answer arrived',
        },
        error,
      );
    }
  }

  private async send(writer: AnswerWriter, isClaimed: boolean): Promise<void> {
    try {
      let isAnswered = false;
      while (!isAnswered) {
        const attempt = await this.attempts.open();
        isAnswered = await this.relayAttempt(attempt, writer, isClaimed);
      }
    } finally {
      await this.metering.close(NO_TOKENS);
    }
  }

  /** Returns false if the attempt broke before anything was passed on and may be tried again. */
  private async relayAttempt(
    attempt: Attempt,
    writer: AnswerWriter,
    isClaimed: boolean,
  ): Promise<boolean> {
    const { memory, limits, claims } = this.parts;
    const { status, contentType, pieces } = attempt.answer;
    const held = new HeldAnswer(memory, limits.maximumBufferedServiceBytes);
    try {
      let step = await pieces.next();
      while (step.done !== true && held.tryAdd(step.value)) {
        attempt.resumeDeadline();
        step = await pieces.next();
      }
      const body = held.take();
      if (step.done === true) {
        if (isClaimed) {
          await claims.store(this.call, { status, contentType, body });
        }
        await this.write(writer, { status, contentType, body });
        return true;
      }
      writer.begin(status, contentType);
      await writer.write(body, this.attempts.signal);
      await this.passOnRest(attempt, step.value, writer);
      return true;
    } catch (error) {
      if (writer.hasBegun) {
        throw error;
      }
      attempt.fail(error);
      this.attempts.recordFailure(attempt.endpoint, error);
      return false;
    } finally {
      held.drop();
      await attempt.end();
    }
  }

  /** Passes on the rest of an answer that is too long to be held back. */
  private async passOnRest(attempt: Attempt, next: Buffer, writer: AnswerWriter): Promise<void> {
    attempt.pauseDeadline();
    await writer.write(next, this.attempts.signal);
    attempt.resumeDeadline();
    for await (const piece of attempt.answer.pieces) {
      attempt.pauseDeadline();
      await writer.write(piece, this.attempts.signal);
      attempt.resumeDeadline();
    }
    await this.metering.close(NO_TOKENS);
    await writer.end();
  }

  private async write(writer: AnswerWriter, answer: StoredAnswer): Promise<void> {
    await this.metering.close(NO_TOKENS);
    writer.begin(answer.status, answer.contentType);
    if (answer.body.length > 0) {
      await writer.write(answer.body, this.attempts.signal);
    }
    await writer.end();
  }
}
