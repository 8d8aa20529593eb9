/** What the queue needs to know about a call, whichever program the call belongs to. */
export interface WaitingCall {
  /** Client account that the call is charged to. */
  readonly account: string;
  /** Model, route or service. Calls with the same destination run on the same endpoints. */
  readonly destination: string;
  /** Calls of one class have the same lateness target and similar first token times. */
  readonly className: string;
  /** Calls with a lower number are admitted first, whatever their slack; 0 is the highest. */
  readonly priority: number;
  readonly arrivalMilliseconds: number;
  /**
   * Latest time at which the call may start. If absent, it follows from the lateness target of the
   * class and the usual time to the first token.
   */
  readonly latestStartMilliseconds?: number;
}
