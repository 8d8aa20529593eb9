import type { WorkKind } from 'hickoryrelay-contract/ClassOfWork';

/** A JSON value as callers send it. */
export type JsonValue =
  string | number | boolean | null | readonly JsonValue[] | { readonly [key: string]: JsonValue };

/** The operations of the OpenAI-compatible API that are relayed. */
export const ModelOperation = {
  ChatCompletions: 'chat-completions',
  Completions: 'completions',
} as const;

export type ModelOperation = (typeof ModelOperation)[keyof typeof ModelOperation];

/** Fields common to all admitted calls. The account never changes after admission. */
export interface CallIdentity {
  readonly requestIdentifier: string;
  /** The client account; undefined if the route is open and no key was sent. */
  readonly accountName: string | undefined;
  /** The access key of the call, which is ended when the key is withdrawn. */
  readonly keyIdentifier: string | undefined;
  readonly className: string;
  /** Arrival time on the monotonic clock of this instance. */
  readonly arrivalMilliseconds: number;
  /** Time by which the response must be complete, on the same clock. */
  readonly deadlineMilliseconds: number;
  readonly isIdempotent: boolean;
  readonly idempotencyKey: string | undefined;
}

/** A call to a language model. */
export interface ModelCall extends CallIdentity {
  readonly kind: typeof WorkKind.Model;
  readonly operation: ModelOperation;
  readonly model: string;
  /** Allow-listed parameters that are sent to the engine. */
  readonly parameters: Readonly<Record<string, JsonValue>>;
  readonly isStreaming: boolean;
  /** True if the caller requested a usage event at the end of the stream. */
  readonly includesUsage: boolean;
  /** Estimated length of the prompt in tokens. */
  readonly promptTokens: number;
  /** Keys of the prompt's prefixes, shortest first, to find engines that cache them. */
  readonly prefixKeys?: readonly string[];
}

/** A call to a plain service. */
export interface ServiceCall extends CallIdentity {
  readonly kind: typeof WorkKind.Service;
  readonly route: string;
  readonly method: string;
  /** Path relative to the route, with the query. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Buffer | undefined;
}

export type Call = ModelCall | ServiceCall;
