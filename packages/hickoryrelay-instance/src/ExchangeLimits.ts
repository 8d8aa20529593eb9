import type { BackoffLimits } from 'hickoryrelay/Backoff';

/** Limits of one exchange. */
export interface ExchangeLimits {
  /** Longest wait for the first piece of a model stream or the answer of a service. */
  readonly firstPieceMilliseconds: number;
  /** Longest wait for an answer that is not streamed. */
  readonly wholeAnswerMilliseconds: number;
  /** Longest wait between two pieces. */
  readonly progressMilliseconds: number;
  /** Longest wait between two pieces once a sibling connection has gone silent. */
  readonly condemnedProgressMilliseconds: number;
  /** Longest wait for the end of a body after its last piece. */
  readonly drainMilliseconds: number;
  /** Most text kept of a stream for a resume. A longer stream is not resumed. */
  readonly resumeTextBytes: number;
  /** Most bytes of a whole model answer that are held back. A longer answer is refused. */
  readonly heldModelBytes: number;
  /** Most bytes of a service's answer that are held back. A longer answer is passed on. */
  readonly heldServiceBytes: number;
  /** Most attempts in a row that bring nothing. */
  readonly fruitlessAttempts: number;
  readonly backoff: BackoffLimits;
}

export const DEFAULT_EXCHANGE_LIMITS: ExchangeLimits = {
  firstPieceMilliseconds: 60_000,
  // An engine is silent until such an answer is complete. Half of the usual deadline of a call
  // leaves time for a second attempt.
  wholeAnswerMilliseconds: 300_000,
  // Over three hundred times the target of 48 ms between tokens.
  progressMilliseconds: 15_000,
  condemnedProgressMilliseconds: 2000,
  drainMilliseconds: 1000,
  // 65,000 tokens of 4 bytes, more than engines generate in one answer. The sum over all streams is
  // bounded by `AnswerMemory`.
  resumeTextBytes: 262_144,
  heldModelBytes: 8_388_608,
  // An answer is stored with its claim, and the key-value service holds values of up to a megabyte,
  // which is base64 text here.
  heldServiceBytes: 262_144,
  fruitlessAttempts: 5,
  backoff: { firstMilliseconds: 20, longestMilliseconds: 1000 },
};
