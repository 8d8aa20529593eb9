import type { BackoffLimits } from 'hickoryrelay/Backoff';

/** Timeouts and size limits of one exchange. */
export interface ExchangeLimits {
  /** Timeout for the first chunk of a model stream or of a service's response. */
  readonly firstChunkTimeoutMilliseconds: number;
  /** Timeout for a model response that is not streamed. */
  readonly bufferedResponseTimeoutMilliseconds: number;
  /** Timeout between two chunks. */
  readonly nextChunkTimeoutMilliseconds: number;
  /** Timeout between two chunks once a sibling connection has stalled. */
  readonly suspectTimeoutMilliseconds: number;
  /** Timeout for the end of a body after its last chunk. */
  readonly drainTimeoutMilliseconds: number;
  /** Maximum text of a stream that is kept to resume it. A longer stream is not resumed. */
  readonly maximumResumeTextBytes: number;
  /** Maximum size of a buffered model response. A larger response fails the attempt. */
  readonly maximumBufferedModelBytes: number;
  /** Maximum size of a buffered service response. A larger response is forwarded unbuffered. */
  readonly maximumBufferedServiceBytes: number;
  /** Maximum number of consecutive attempts without progress. */
  readonly maximumAttemptsWithoutProgress: number;
  readonly backoff: BackoffLimits;
}

export const DEFAULT_EXCHANGE_LIMITS: ExchangeLimits = {
  firstChunkTimeoutMilliseconds: 60_000,
  // An engine sends nothing until such a response is complete. Half of the usual deadline of a call
  // leaves time for a second attempt.
  bufferedResponseTimeoutMilliseconds: 300_000,
  // Over 300 times the target of 48 ms between tokens.
  nextChunkTimeoutMilliseconds: 15_000,
  suspectTimeoutMilliseconds: 2000,
  drainTimeoutMilliseconds: 1000,
  // 65,000 tokens of 4 bytes, more than engines generate in one response. `ResponseMemoryBudget`
  // bounds the sum over all streams.
  maximumResumeTextBytes: 262_144,
  maximumBufferedModelBytes: 8_388_608,
  // The response is stored with its claim as base64 text, and the key-value service accepts values
  // of up to 1 MB.
  maximumBufferedServiceBytes: 262_144,
  maximumAttemptsWithoutProgress: 5,
  backoff: { initialMilliseconds: 20, maximumMilliseconds: 1000 },
};
