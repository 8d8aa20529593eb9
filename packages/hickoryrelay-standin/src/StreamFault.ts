/** Fault that an engine stand-in injects into a generation. */
export const StreamFault = {
  /** Closes the connection without ending the response. */
  Crash: 'crash',
  /** Stops sending but keeps the connection open. */
  Stall: 'stall',
  /** Ends the response body early as if it were complete. */
  CloseEarly: 'close-early',
  /** Inserts a chunk that belongs to another request and continues. */
  ForeignChunk: 'foreign-chunk',
  /** Sends an earlier chunk of the same response again and continues. */
  RepeatedChunk: 'repeated-chunk',
  /** Omits a chunk and continues. */
  MissingChunk: 'missing-chunk',
} as const;

export type StreamFault = (typeof StreamFault)[keyof typeof StreamFault];

/** A fault and the number of tokens sent before it. */
export interface PlannedStreamFault {
  readonly fault: StreamFault;
  readonly afterTokens: number;
}
