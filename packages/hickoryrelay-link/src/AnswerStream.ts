/** The answer of an endpoint while it arrives. */
export interface AnswerStream {
  /** HTTP status code. */
  readonly status: number;
  readonly contentType: string;
  /**
   * The body in order. Ends when the answer is complete, throws `endpoint-failed` when it breaks.
   * Returning early cancels the call at the endpoint. Bytes are not parsed.
   */
  readonly pieces: AsyncGenerator<Buffer, void, void>;
}
