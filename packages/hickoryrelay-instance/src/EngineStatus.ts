import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { BufferedResponse } from './BufferedResponse.js';
import type { Attempt } from './Attempt.js';
import type { CallMetering } from './CallMetering.js';
import type { ExchangeParts } from './Exchange.js';
import type { ResponseWriter } from './ResponseWriter.js';

const OK = 200;

/** Answers by which an engine says that the request itself is wrong, wherever it is sent. */
const CALLERS_FAULT: ReadonlySet<number> = new Set([400, 413, 422]);

/** Most bytes of an engine's error message that are passed on. */
const LONGEST_REFUSAL_BYTES = 65_536;

/** Tells whether another engine would refuse the request as well. */
export function isCallersFault(status: number): boolean {
  return CALLERS_FAULT.has(status);
}

/** Throws `endpoint-failed` if the engine answers with an error. */
export function assertEngineAnswers(attempt: Attempt): void {
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

/** Passes on an engine's refusal of a wrong request. */
export async function relayRefusal(
  attempt: Attempt,
  parts: ExchangeParts,
  metering: CallMetering,
  writer: ResponseWriter,
  signal: AbortSignal,
): Promise<void> {
  const held = new BufferedResponse(parts.memoryBudget, LONGEST_REFUSAL_BYTES);
  try {
    for await (const chunk of attempt.answer.chunks) {
      if (!held.tryAppend(chunk)) {
        break;
      }
    }
    await metering.close({ promptTokens: 0, completionTokens: 0 });
    writer.begin(attempt.answer.status, attempt.answer.contentType);
    await writer.write(held.takeBody(), signal);
    await writer.end();
  } finally {
    held.discard();
    await attempt.end();
  }
}
