/** What the exchanges of an instance had to put right, as running totals. */
export class ExchangeCounters {
  /** Pieces of other requests that were dropped. */
  foreignPieces = 0;

  /** Pieces that had been passed on before and were dropped. */
  repeatedPieces = 0;

  /** Attempts after the first one of a call. */
  retries = 0;

  /** Attempts that went on with a broken stream. */
  resumes = 0;

  /** Connections that went silent. */
  silences = 0;
}
