/** Header names and values in the order in which they came: name, value, name, value, ... */
export type HeaderList = readonly string[];

/** One part of a prompt. Requests share parts; the last one belongs to the request itself. */
export interface PromptSegment {
  readonly identifier: string;
  readonly tokens: number;
}

/** A decoded request of a caller. */
export interface ForwardedRequest {
  /** The caller's identifier of this attempt; absent if the caller sent none. */
  readonly identifier: string | undefined;
  readonly method: string;
  readonly host: string;
  /** Path and query, unchanged. */
  readonly target: string;
  /** End-to-end headers without those that the system sets itself and without the access key. */
  readonly headers: HeaderList;
  readonly body: Buffer;
  readonly accessKey: string | undefined;
  /** How long the caller waits, in milliseconds from the arrival; absent if it did not say. */
  readonly callerTimeoutMilliseconds: number | undefined;
  /** Arrival on the steady clock, in milliseconds. */
  readonly arrivedMilliseconds: number;
  /** Arrival on the clock that counts suspensions, in milliseconds. */
  readonly arrivedSuspensionMilliseconds: number;
  readonly promptSegments: readonly PromptSegment[];
  /** The last event that the caller already has, where it resumes a stream. */
  readonly lastEvent: string | undefined;
}
