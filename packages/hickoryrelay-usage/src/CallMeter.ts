import type { Call } from 'hickoryrelay-link/Call';

/** Final token counts of a call; both are 0 for a call to a plain service. */
export interface TokenCounts {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** Records the usage of one call. */
export interface MeteredCall {
  /** Records the total of completion tokens relayed so far. Cheap; called for each chunk. */
  progress(completionTokens: number): void;

  /** Records that the call now runs on another endpoint. */
  setEndpoint(endpoint: string): void;

  /**
   * Records the final token counts. Resolves once they survive the loss of this instance, or when
   * no peer is connected. Called once, also for calls that were cancelled or interrupted.
   */
  close(tokenCounts: TokenCounts): Promise<void>;
}

/** Meters calls on the instance that relays their responses. */
export abstract class CallMeter {
  /** Opens the record of a call that is about to be sent to the endpoint. */
  abstract open(call: Call, endpoint: string): MeteredCall;
}

/** Records no usage. For benchmarks of the relay alone. */
export class DisabledCallMeter extends CallMeter {
  override open(): MeteredCall {
    return { progress: () => {}, setEndpoint: () => {}, close: async () => {} };
  }
}
