import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { parseCompleteResponse } from 'hickoryrelay-link/EngineEventReader';

import { BufferedResponse } from './BufferedResponse.js';
import { assertEngineSucceeded, isClientError, relayClientError } from './EngineStatus.js';
import { ResponseRelay } from './ResponseRelay.js';
import type { Attempt } from './Attempt.js';
import type { ResponseWriter } from './ResponseWriter.js';
import type { ModelCall } from 'hickoryrelay-link/Call';
import type { TokenCounts } from 'hickoryrelay-usage/CallMeter';

interface ValidatedResponse {
  readonly body: Buffer;
  readonly tokenCounts: TokenCounts;
}

/**
 * Relays a model response that is not streamed. Buffers it until complete, so it can be retried.
 */
export class BufferedModelRelay extends ResponseRelay<ModelCall> {
  override async relay(writer: ResponseWriter): Promise<void> {
    try {
      for (;;) {
        const attempt = await this.attempts.open();
        const { status, contentType } = attempt.answer;
        if (isClientError(status)) {
          await relayClientError(attempt, this.parts, this.metering, writer, this.attempts.signal);
          return;
        }
        const validated = await this.bufferResponse(attempt);
        if (validated !== undefined) {
          await this.metering.close(validated.tokenCounts);
          writer.begin(status, contentType);
          await writer.write(validated.body, this.attempts.signal);
          await writer.end();
          return;
        }
      }
    } finally {
      await this.metering.close({ promptTokens: 0, completionTokens: 0 });
    }
  }

  /** Returns the response of an attempt, or undefined if it failed and may be retried. */
  private async bufferResponse(attempt: Attempt): Promise<ValidatedResponse | undefined> {
    const buffered = new BufferedResponse(
      this.parts.memoryBudget,
      this.parts.limits.maximumBufferedModelBytes,
    );
    try {
      assertEngineSucceeded(attempt);
      for await (const chunk of attempt.answer.chunks) {
        if (!buffered.tryAppend(chunk)) {
          throw BufferedModelRelay.createFailure(attempt, 'the response exceeds the buffer limit');
        }
        attempt.resumeDeadline();
      }
      return this.check(attempt, buffered.takeBody());
    } catch (error) {
      attempt.fail(error);
      this.attempts.recordFailure(attempt.endpoint, error);
      return undefined;
    } finally {
      buffered.discard();
      await attempt.end();
    }
  }

  private check(attempt: Attempt, body: Buffer): ValidatedResponse {
    const response = parseCompleteResponse(body);
    if (response === undefined) {
      throw BufferedModelRelay.createFailure(attempt, 'the response is incomplete');
    }
    if (response.requestIdentifier !== this.call.requestIdentifier) {
      this.parts.counters.mismatchedEvents += 1;
      throw BufferedModelRelay.createFailure(attempt, 'the response belongs to another request');
    }
    return { body, tokenCounts: response.usage };
  }

  private static createFailure(attempt: Attempt, reason: string): RelayError {
    const endpoint = attempt.endpoint.identifier;
    return new RelayError({
      kind: FailureKind.EndpointFailed,
      endpoint,
      reason,
      mayHaveRun: true,
    });
  }
}
