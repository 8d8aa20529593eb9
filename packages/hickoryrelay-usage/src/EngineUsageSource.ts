/** An engine's own figures of one request. */
export interface EngineCount {
  readonly isFinished: boolean;
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** Reads engines' own figures of requests (`GET /requests/<id>`). */
export abstract class EngineUsageSource {
  /** Returns undefined if the engine does not know the request. Throws if it does not answer. */
  abstract count(endpoint: string, requestIdentifier: string): Promise<EngineCount | undefined>;
}
