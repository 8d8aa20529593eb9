import type { WaitingCall } from './WaitingCall.js';

/** Cost of a call, in milliseconds of engine time. */
export interface CallCost {
  readonly prefill: number;
  readonly decode: number;
  readonly total: number;
}

/** Describes the calls of one program to the queue, and estimates their costs. */
export abstract class CallCosts<TCall> {
  abstract describe(call: TCall): WaitingCall;

  /** Estimates the cost of an arriving call. Called once for each call. */
  abstract estimate(call: TCall): CallCost;

  /** Returns the actual cost of a call that has ended. */
  abstract settle(call: TCall, estimate: CallCost, decodeTokens: number): CallCost;

  /** Records the time from the admission of a call to its end. */
  abstract recordRunTime(call: TCall, milliseconds: number): void;
}
