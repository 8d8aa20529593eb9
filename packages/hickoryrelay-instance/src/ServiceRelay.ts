import { FailureKind } from 'hickoryrelay/Failure';
import { hasFailureKind, RelayError } from 'hickoryrelay/RelayError';

import { BufferedResponse } from './BufferedResponse.js';
import { ResponseRelay } from './ResponseRelay.js';
import type { Attempt } from './Attempt.js';
import type { ResponseWriter } from './ResponseWriter.js';
import type { ServiceCall } from 'hickoryrelay-link/Call';
import type { StoredResponse } from 'hickoryrelay-usage/ClaimRegister';

const NO_TOKENS = { promptTokens: 0, completionTokens: 0 };

/** Relays the response of a service. A call that is not idempotent is sent at most once. */
export class ServiceRelay extends ResponseRelay<ServiceCall> {
  override async relay(writer: ResponseWriter): Promise<void> {
    if (this.call.isIdempotent) {
      await this.send(writer, false);
    } else if (this.call.idempotencyKey === undefined) {
      await this.sendAtMostOnce(writer, false);
    } else {
      await this.claimAndSend(writer);
    }
  }

  private async claimAndSend(writer: ResponseWriter): Promise<void> {
    const outcome = await this.parts.claims.claim(this.call);
    if (outcome.kind === 'answered') {
      await this.writeResponse(writer, outcome.answer);
      return;
    }
    if (outcome.kind === 'unknown') {
      throw new RelayError({
        kind: FailureKind.ResultUnknown,
        requestIdentifier: outcome.requestIdentifier,
        reason: 'an earlier call with the same idempotency key has no recorded response',
      });
    }
    try {
      if (this.attempts.signal.aborted) {
        throw new RelayError({ kind: FailureKind.Cancelled, reason: 'the call was cancelled' });
      }
      await this.sendAtMostOnce(writer, true);
    } catch (error) {
      if (!this.attempts.mayHaveRun) {
        await this.parts.claims.abandon(this.call);
      }
      throw error;
    }
  }

  /** Sends a call that must not run twice. If its response is lost, throws `result-unknown`. */
  private async sendAtMostOnce(writer: ResponseWriter, isClaimed: boolean): Promise<void> {
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
          reason: 'the call was sent but no complete response was received',
        },
        error,
      );
    }
  }

  private async send(writer: ResponseWriter, isClaimed: boolean): Promise<void> {
    try {
      let isComplete = false;
      while (!isComplete) {
        const attempt = await this.attempts.open();
        isComplete = await this.relayAttempt(attempt, writer, isClaimed);
      }
    } finally {
      await this.metering.close(NO_TOKENS);
    }
  }

  /** Returns false if the attempt failed before anything was forwarded and may be retried. */
  private async relayAttempt(
    attempt: Attempt,
    writer: ResponseWriter,
    isClaimed: boolean,
  ): Promise<boolean> {
    const { memoryBudget, limits, claims } = this.parts;
    const { status, contentType, chunks } = attempt.answer;
    const buffered = new BufferedResponse(memoryBudget, limits.maximumBufferedServiceBytes);
    try {
      let result = await chunks.next();
      while (result.done !== true && buffered.tryAppend(result.value)) {
        attempt.resumeDeadline();
        result = await chunks.next();
      }
      const body = buffered.takeBody();
      if (result.done === true) {
        if (isClaimed) {
          await claims.store(this.call, { status, contentType, body });
        }
        await this.writeResponse(writer, { status, contentType, body });
        return true;
      }
      writer.begin(status, contentType);
      await writer.write(body, this.attempts.signal);
      await this.forwardRemainder(attempt, result.value, writer);
      return true;
    } catch (error) {
      if (writer.hasBegun) {
        throw error;
      }
      attempt.fail(error);
      this.attempts.recordFailure(attempt.endpoint, error);
      return false;
    } finally {
      buffered.discard();
      await attempt.end();
    }
  }

  /** Forwards the rest of a response that is too large to buffer. */
  private async forwardRemainder(
    attempt: Attempt,
    nextChunk: Buffer,
    writer: ResponseWriter,
  ): Promise<void> {
    attempt.pauseDeadline();
    await writer.write(nextChunk, this.attempts.signal);
    attempt.resumeDeadline();
    for await (const chunk of attempt.answer.chunks) {
      attempt.pauseDeadline();
      await writer.write(chunk, this.attempts.signal);
      attempt.resumeDeadline();
    }
    await this.metering.close(NO_TOKENS);
    await writer.end();
  }

  private async writeResponse(writer: ResponseWriter, response: StoredResponse): Promise<void> {
    await this.metering.close(NO_TOKENS);
    writer.begin(response.status, response.contentType);
    if (response.body.length > 0) {
      await writer.write(response.body, this.attempts.signal);
    }
    await writer.end();
  }
}
