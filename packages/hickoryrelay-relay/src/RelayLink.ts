/** Header names and values in the order received: name, value, name, value, ... */
export type HeaderList = readonly string[];

/** An instance that may be asked to serve a request. */
export interface RelayReceiver {
  readonly instance: string;
  readonly zone: string;
  readonly host: string;
  /** TCP port at which the instance takes requests of other instances. */
  readonly port: number;
}

/** A request as its caller sent it. */
export interface RelayedRequest {
  readonly identifier: string | undefined;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly target: string;
  /** End-to-end headers, without the access key and without those that the system sets itself. */
  readonly headers: HeaderList;
  readonly body: Buffer;
  readonly accessKey: string | undefined;
  /** Identifier of the last event that the caller has received, if it resumes a stream. */
  readonly lastEvent: string | undefined;
  /** What is left of the time for which the caller waits, in milliseconds. */
  readonly remainingMilliseconds: number;
  /** Attempts that this instance has made at endpoints. */
  readonly attemptsMade: number;
  /** The oldest configuration version at which the receiver may decide. */
  readonly minimumConfiguration?: number | undefined;
}

/** The response of a receiver, whose body has not been read yet. */
export interface RelayResponse {
  readonly status: number;
  /** End-to-end headers, unchanged. */
  readonly headers: HeaderList;
  /** Length of the body in bytes; undefined if the response does not state it. */
  readonly length: number | undefined;
  /** False if the response ends with its head, as to a request with the method HEAD. */
  readonly hasBody: boolean;
  /** True if the receiver has not run the request, since it cannot help, mostly as it cannot reach the endpoints either. */
  readonly isUnreachable: boolean;
  /** Version of the receiver's configuration; undefined if it states none. */
  readonly configurationVersion?: number | undefined;
  /** Ends normally only if the body is complete; throws `endpoint-failed` otherwise. */
  readonly body: AsyncIterable<Buffer>;
  /** Discards the rest of the body. The connection may be closed. */
  discard(): void;
}

/**
 * Sends requests to other instances. Every failure is `endpoint-failed`, whose `mayHaveRun` is false
 * only if no byte of the request was written.
 */
export abstract class RelayLink {
  /** Sends the request and resolves when the head of the response has arrived. */
  abstract send(
    receiver: RelayReceiver,
    request: RelayedRequest,
    signal: AbortSignal,
  ): Promise<RelayResponse>;
}
