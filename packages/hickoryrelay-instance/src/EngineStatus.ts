import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { BufferedResponse } from './BufferedResponse.js';
import type { Attempt } from './Attempt.js';
import type { CallMetering } from './CallMetering.js';
import type { ExchangeParts } from './Exchange.js';
import type { ResponseWriter } from './ResponseWriter.js';

const OK = 200;

/** Status codes for a request that is invalid at any engine. */
const CLIENT_ERROR_STATUSES: ReadonlySet<number> = new Set([400, 413, 422]);

const MAXIMUM_ERROR_BODY_BYTES = 65_536;

/** Whether any other engine would reject the request as well. */
export function isClientError(status: number): boolean {
  return CLIENT_ERROR_STATUSES.has(status);
}

/** Throws `endpoint-failed` unless the engine responded with status 200. */
export function assertEngineSucceeded(attempt: Attempt): void {
  const { status } = attempt.answer;
  if (status !== OK) {
    throw new RelayError({
      kind: FailureKind.EndpointFailed,
      endpoint: attempt.endpoint.identifier,
      reason: `status ${status}`,
      mayHaveRun: true,
    });
  }
}

/** Relays an engine's error response to an invalid request, truncated if it is too long. */
export async function relayClientError(
  attempt: Attempt,
  parts: ExchangeParts,
  metering: CallMetering,
  writer: ResponseWriter,
  signal: AbortSignal,
): Promise<void> {
  const body = new BufferedResponse(parts.memoryBudget, MAXIMUM_ERROR_BODY_BYTES);
  try {
    for await (const chunk of attempt.answer.chunks) {
      if (!body.tryAppend(chunk)) {
        break;
      }
    }
    await metering.close({ promptTokens: 0, completionTokens: 0 });
    writer.begin(attempt.answer.status, attempt.answer.contentType);
    await writer.write(body.takeBody(), signal);
    await writer.end();
  } finally {
    body.discard();
    await attempt.end();
  }
}
