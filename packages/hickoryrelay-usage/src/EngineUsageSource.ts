/** An engine's own token counts of one request. */
export interface EngineCount {
  readonly isFinished: boolean;
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** Reads the engines' own token counts of requests (`GET /requests/<id>`). */
export abstract class EngineUsageSource {
  /** Returns undefined if the engine does not know the request. Throws if it does not respond. */
  abstract count(endpoint: string, requestIdentifier: string): Promise<EngineCount | undefined>;
}
