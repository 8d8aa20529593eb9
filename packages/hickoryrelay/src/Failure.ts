/** The kinds of failure that hickoryrelay reports. Values are stable codes that callers see. */
export const FailureKind = {
  InvalidRequest: 'invalid-request',
  RequestTooLarge: 'request-too-large',
  UnsupportedMediaType: 'unsupported-media-type',
  RequestTimeout: 'request-timeout',
  Unauthenticated: 'unauthenticated',
  KeyWithdrawn: 'key-withdrawn',
  NotPermitted: 'not-permitted',
  NotFound: 'not-found',
  Overloaded: 'overloaded',
  NoEndpoint: 'no-endpoint',
  EndpointFailed: 'endpoint-failed',
  ResultUnknown: 'result-unknown',
  IdempotencyConflict: 'idempotency-conflict',
  DeadlineExceeded: 'deadline-exceeded',
  Cancelled: 'cancelled',
  PlatformUnavailable: 'platform-unavailable',
  AuthorityLost: 'authority-lost',
  RevisionConflict: 'revision-conflict',
  StaleView: 'stale-view',
  InvalidFile: 'invalid-file',
  ProtocolViolation: 'protocol-violation',
  InvariantViolated: 'invariant-violated',
  ShuttingDown: 'shutting-down',
} as const;

export type FailureKind = (typeof FailureKind)[keyof typeof FailureKind];

/** One error in a settings or declarations file. Line numbers start at 1. */
export interface FileProblem {
  readonly file: string;
  readonly line: number;
  readonly field: string;
  readonly reason: string;
}

/** A failure and the details that a caller, an operator or a retry decision needs. */
export type Failure =
  | { readonly kind: 'invalid-request'; readonly field: string; readonly reason: string }
  | { readonly kind: 'request-too-large'; readonly part: string; readonly limitBytes: number }
  | { readonly kind: 'unsupported-media-type'; readonly received: string }
  | { readonly kind: 'request-timeout'; readonly limitMilliseconds: number }
  | { readonly kind: 'unauthenticated'; readonly reason: string }
  | { readonly kind: 'key-withdrawn'; readonly keyIdentifier: string }
  | { readonly kind: 'not-permitted'; readonly account: string; readonly className: string }
  | { readonly kind: 'not-found'; readonly subject: string; readonly name: string }
  | { readonly kind: 'overloaded'; readonly reason: string; readonly retryAfterSeconds: number }
  | { readonly kind: 'no-endpoint'; readonly className: string; readonly retryAfterSeconds: number }
  | {
      readonly kind: 'endpoint-failed';
      readonly endpoint: string;
      readonly reason: string;
      /** False only if the endpoint certainly did not start the call. */
      readonly mayHaveRun: boolean;
    }
  | { readonly kind: 'result-unknown'; readonly requestIdentifier: string; readonly reason: string }
  | { readonly kind: 'idempotency-conflict'; readonly reason: string }
  | { readonly kind: 'deadline-exceeded'; readonly limitMilliseconds: number }
  | { readonly kind: 'cancelled'; readonly reason: string }
  | {
      readonly kind: 'platform-unavailable';
      readonly service: string;
      readonly reason: string;
      /** True if the request may have taken effect although no response arrived. */
      readonly mayHaveTakenEffect: boolean;
    }
  | { readonly kind: 'authority-lost'; readonly zone: string; readonly fencingNumber: number }
  | { readonly kind: 'revision-conflict'; readonly expected: number; readonly found: number }
  | { readonly kind: 'stale-view'; readonly ageSeconds: number; readonly limitSeconds: number }
  | { readonly kind: 'invalid-file'; readonly problems: readonly FileProblem[] }
  | { readonly kind: 'protocol-violation'; readonly peer: string; readonly reason: string }
  | { readonly kind: 'invariant-violated'; readonly message: string }
  | { readonly kind: 'shutting-down' };

/** Describes the failure in one short English sentence, without secrets or prompts. */
export function describeFailure(failure: Failure): string {
  switch (failure.kind) {
    case 'invalid-request':
      return `Invalid request: ${failure.field}: ${failure.reason}.`;
    case 'request-too-large':
      return `The request's ${failure.part} exceeds ${failure.limitBytes} bytes.`;
    case 'unsupported-media-type':
      return `Unsupported content type "${failure.received}".`;
    case 'request-timeout':
      return `The request did not arrive within ${failure.limitMilliseconds} ms.`;
    case 'unauthenticated':
      return `Not authenticated: ${failure.reason}.`;
    case 'key-withdrawn':
      return `The access key ${failure.keyIdentifier} has been withdrawn.`;
    case 'not-permitted':
      return `Client account ${failure.account} may not use class ${failure.className}.`;
    case 'not-found':
      return `No ${failure.subject} named "${failure.name}".`;
    case 'overloaded':
      return `Overloaded: ${failure.reason}.`;
    case 'no-endpoint':
      return `No endpoint is available for class ${failure.className}.`;
    case 'endpoint-failed':
      return `Endpoint ${failure.endpoint} failed: ${failure.reason}.`;
    case 'result-unknown':
      return `The result of request ${failure.requestIdentifier} is not known: ${failure.reason}.`;
    case 'idempotency-conflict':
      return `Idempotency key conflict: ${failure.reason}.`;
    case 'deadline-exceeded':
      return `The deadline of ${failure.limitMilliseconds} ms has passed.`;
    case 'cancelled':
      return `Cancelled: ${failure.reason}.`;
    case 'platform-unavailable':
      return `The platform's ${failure.service} is unavailable: ${failure.reason}.`;
    case 'authority-lost':
      return `Authority over zone ${failure.zone} (fencing number ${failure.fencingNumber}) is lost.`;
    case 'revision-conflict':
      return `Expected revision ${failure.expected} but found ${failure.found}.`;
    case 'stale-view':
      return `The configuration was last confirmed ${failure.ageSeconds} s ago; the limit is ${failure.limitSeconds} s.`;
    case 'invalid-file':
      return failure.problems
        .map((problem) => `${problem.file}:${problem.line}: ${problem.field}: ${problem.reason}`)
        .join('\n');
    case 'protocol-violation':
      return `Protocol violation by ${failure.peer}: ${failure.reason}.`;
    case 'invariant-violated':
      return `Invariant violated: ${failure.message}.`;
    case 'shutting-down':
      return 'This instance is shutting down.';
    default:
      return 'Unknown failure.';
  }
}
