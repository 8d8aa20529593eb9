import type { Call } from 'hickoryrelay-link/Call';

/** Final figures of a call, in tokens; both 0 for a call of a plain service. */
export interface CallFigures {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** The meter of one call. */
export interface MeteredCall {
  /** Records the completion tokens passed on so far, as a total. Cheap; called for each piece. */
  progress(completionTokens: number): void;

  /** Records that the call now runs on another endpoint. */
  moveTo(endpoint: string): void;

  /**
   * Records the final figures. Resolves once they survive the loss of this instance, or when no
   * peer is connected. Called once, also for calls that were cancelled or cut off.
   */
  close(figures: CallFigures): Promise<void>;
}

/** Meters calls where the answer passes. */
export abstract class CallMeter {
  /** Opens the record of a call that is about to be sent to the endpoint. */
  abstract open(call: Call, endpoint: string): MeteredCall;
}

/** Meters nothing. For measurements of the relay alone. */
export class DisabledCallMeter extends CallMeter {
  override open(): MeteredCall {
    return { progress: () => {}, moveTo: () => {}, close: async () => {} };
  }
}
