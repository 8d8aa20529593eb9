/** Fault that a stand-in applies to a request. */
export const Fault = {
  /** Responds normally. */
  None: 'none',
  /** Refuses the request, which has no effect. */
  Refuse: 'refuse',
  /** Applies the effect and closes the connection without a response. */
  LoseResponse: 'lose-response',
  /** Applies the effect, keeps the connection open and never responds. */
  Silent: 'silent',
} as const;

export type Fault = (typeof Fault)[keyof typeof Fault];

/** Faults that tests configure on a running stand-in. */
export class FaultPlan {
  /** Delay added to every response. */
  delayMilliseconds = 0;

  /** Applied to each request when no fault is queued. */
  defaultFault: Fault = Fault.None;

  private readonly queued: Fault[] = [];

  /** Queues a fault for the next request. */
  enqueue(fault: Fault): void {
    this.queued.push(fault);
  }

  takeNext(): Fault {
    return this.queued.shift() ?? this.defaultFault;
  }
}
