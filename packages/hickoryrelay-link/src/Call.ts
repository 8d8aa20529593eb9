import type { WorkKind } from 'hickoryrelay-contract/ClassOfWork';

/** A JSON value as callers send it. */
export type JsonValue =
  string | number | boolean | null | readonly JsonValue[] | { readonly [key: string]: JsonValue };

/** The operations of the OpenAI-style interface that are relayed. */
export const ModelOperation = {
  ChatCompletions: 'chat-completions',
  Completions: 'completions',
} as const;

export type ModelOperation = (typeof ModelOperation)[keyof typeof ModelOperation];

/** What every admitted call carries. The account is fixed here and never changes. */
export interface CallIdentity {
  readonly requestIdentifier: string;
  /** The client account; undefined on open routes without a key. */
  readonly accountName: string | undefined;
  /** The key that opened the call, to end it when the key is withdrawn. */
  readonly keyIdentifier: string | undefined;
  readonly className: string;
  /** Arrival on the monotonic clock of this instance, in milliseconds. */
  readonly arrivalMilliseconds: number;
  /** Time by which the answer must be complete, on the same clock, in milliseconds. */
  readonly deadlineMilliseconds: number;
  readonly isIdempotent: boolean;
  readonly idempotencyKey: string | undefined;
}

/** A call to a language model. */
export interface ModelCall extends CallIdentity {
  readonly kind: typeof WorkKind.Model;
  readonly operation: ModelOperation;
  readonly model: string;
  /** Parameters from the allow-list, to be sent to the engine. */
  readonly parameters: Readonly<Record<string, JsonValue>>;
  readonly isStreaming: boolean;
  /** True if the caller asked for a usage event at the end of the stream. */
  readonly includesUsage: boolean;
  /** Estimated size of the prompt, in tokens. */
  readonly promptTokens: number;
  /** Keys of the prompt's leading parts, in order of length, to find engines that cache them. */
  readonly prefixKeys?: readonly string[];
}

/** A call to a plain service. */
export interface ServiceCall extends CallIdentity {
  readonly kind: typeof WorkKind.Service;
  readonly route: string;
  readonly method: string;
  /** Path below the route and query, without the route itself. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Buffer | undefined;
}

export type Call = ModelCall | ServiceCall;
