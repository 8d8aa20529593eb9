import { describeFailure, FailureKind } from 'hickoryrelay/Failure';

import type { FailureReport } from './ResponseWriter.js';
import type { Failure } from 'hickoryrelay/Failure';

const STATUS_CODES: Readonly<Record<FailureKind, number>> = {
  [FailureKind.InvalidRequest]: 400,
  [FailureKind.RequestTooLarge]: 413,
  [FailureKind.UnsupportedMediaType]: 415,
  [FailureKind.RequestTimeout]: 408,
  [FailureKind.Unauthenticated]: 401,
  [FailureKind.KeyWithdrawn]: 401,
  [FailureKind.NotPermitted]: 403,
  [FailureKind.NotFound]: 404,
  [FailureKind.Overloaded]: 429,
  [FailureKind.NoEndpoint]: 503,
  [FailureKind.EndpointFailed]: 502,
  [FailureKind.ResultUnknown]: 502,
  [FailureKind.IdempotencyConflict]: 409,
  [FailureKind.DeadlineExceeded]: 504,
  [FailureKind.Cancelled]: 499,
  [FailureKind.PlatformUnavailable]: 503,
  [FailureKind.AuthorityLost]: 409,
  [FailureKind.RevisionConflict]: 409,
  [FailureKind.StaleView]: 503,
  [FailureKind.InvalidFile]: 400,
  [FailureKind.ProtocolViolation]: 502,
  [FailureKind.InvariantViolated]: 500,
  [FailureKind.ShuttingDown]: 503,
};

const DEFAULT_RETRY_AFTER_SECONDS = 1;

/** The body of an error response: the error object of the OpenAI API with additional fields. */
export interface ErrorBody {
  readonly error: {
    readonly type: string;
    readonly code: string;
    readonly message: string;
    readonly not_run: boolean;
    readonly result_unknown: boolean;
    readonly retry_after_seconds: number | null;
    readonly request_id: string;
  };
}

/** Status, headers and body of an error response. */
export interface ErrorResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: ErrorBody;
}

function errorType(status: number): string {
  if (status === 401) {
    return 'authentication_error';
  }
  if (status === 429) {
    return 'rate_limit_error';
  }
  return status >= 500 ? 'server_error' : 'invalid_request_error';
}

function retryAfterSeconds(failure: Failure): number | null {
  switch (failure.kind) {
    case 'overloaded':
    case 'no-endpoint':
      return failure.retryAfterSeconds;
    case 'shutting-down':
    case 'platform-unavailable':
    case 'stale-view':
      return DEFAULT_RETRY_AFTER_SECONDS;
    default:
      return null;
  }
}

/** Encodes a failure as an HTTP response. Details of internal errors are not disclosed. */
export function errorResponse(report: FailureReport): ErrorResponse {
  const { failure, requestIdentifier, notRun } = report;
  const status = STATUS_CODES[failure.kind];
  const isInternal = failure.kind === FailureKind.InvariantViolated;
  const retryAfter = retryAfterSeconds(failure);
  return {
    status,
    headers: {
      'content-type': 'application/json',
      'x-request-id': requestIdentifier,
      ...(retryAfter === null ? {} : { 'retry-after': String(Math.ceil(retryAfter)) }),
    },
    body: {
      error: {
        type: errorType(status),
        code: failure.kind,
        message: isInternal ? 'Internal error.' : describeFailure(failure),
        not_run: notRun,
        result_unknown: failure.kind === FailureKind.ResultUnknown,
        retry_after_seconds: retryAfter,
        request_id: requestIdentifier,
      },
    },
  };
}
