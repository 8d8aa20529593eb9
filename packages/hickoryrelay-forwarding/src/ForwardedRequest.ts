/** Header names and values in the order received: name, value, name, value, ... */
export type HeaderList = readonly string[];

/** A segment of a prompt. Requests share segments, except for the last one of each request. */
export interface PromptSegment {
  readonly identifier: string;
  readonly tokens: number;
}

/** What another instance states about a request that it has passed on. */
export interface RelayedArrival {
  /** Attempts that it has made, which count towards the limit of the route. */
  readonly attemptsMade: number;
  /** The oldest configuration version at which the request may be decided; undefined if it states none. */
  readonly minimumConfiguration?: number | undefined;
}

/** A decoded request from a caller. */
export interface ForwardedRequest {
  /** The caller's identifier of this attempt; undefined if the caller sent none. */
  readonly identifier: string | undefined;
  readonly method: string;
  readonly host: string;
  /** Path and query, unchanged. */
  readonly target: string;
  /** End-to-end headers, without the access key and without those that the system sets itself. */
  readonly headers: HeaderList;
  readonly body: Buffer;
  readonly accessKey: string | undefined;
  /** How long the caller waits from the arrival; undefined if it set no timeout. */
  readonly callerTimeoutMilliseconds: number | undefined;
  /** Arrival on the monotonic clock. */
  readonly arrivedMilliseconds: number;
  /** Arrival on the suspension clock, by which the age of the view is measured. */
  readonly arrivedSuspensionMilliseconds: number;
  /** Prompt tokens and maximum output tokens together; absent if the caller states none. */
  readonly declaredTokens?: number;
  readonly promptSegments: readonly PromptSegment[];
  /** Identifier of the last event that the caller has received, if it resumes a stream. */
  readonly lastEvent: string | undefined;
  /** Identifier of the attempt that brought the first event of a stream that the caller resumes. */
  readonly resumedRequest?: string | undefined;
  /** Present if another instance has passed the request on. It is not passed on again. */
  readonly relayed?: RelayedArrival;
}
