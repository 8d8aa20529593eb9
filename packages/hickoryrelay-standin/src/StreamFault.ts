/** How an engine stand-in misbehaves during a generation. */
export const StreamFault = {
  /** Closes the connection without an end. */
  Crash: 'crash',
  /** Sends nothing more on the open connection. */
  Silent: 'silent',
  /** Ends the body in the middle of the answer as if it were complete. */
  CloseEarly: 'close-early',
  /** Mixes in a piece of another request and goes on. */
  ForeignPiece: 'foreign-piece',
  /** Sends an earlier piece of the same answer again and goes on. */
  RepeatedPiece: 'repeated-piece',
  /** Leaves out a piece and goes on. */
  MissingPiece: 'missing-piece',
} as const;

export type StreamFault = (typeof StreamFault)[keyof typeof StreamFault];

/** One fault, and how many tokens are sent before it. */
export interface PlannedStreamFault {
  readonly fault: StreamFault;
  readonly afterTokens: number;
}
