/** What a stand-in does to a request. */
export const Fault = {
  /** Answers as usual. */
  None: 'none',
  /** Refuses without any effect. */
  Refuse: 'refuse',
  /** Applies the effect and closes the connection without an answer. */
  LoseAnswer: 'lose-answer',
  /** Applies the effect and never answers on the open connection. */
  Silent: 'silent',
} as const;

export type Fault = (typeof Fault)[keyof typeof Fault];

/** The faults of one stand-in, changed by tests while it runs. */
export class FaultPlan {
  /** Added to every answer, in milliseconds. */
  delayMilliseconds = 0;

  /** Fault of every request that no queued fault takes. */
  standing: Fault = Fault.None;

  private readonly queued: Fault[] = [];

  /** Queues a fault for the next request. */
  next(fault: Fault): void {
    this.queued.push(fault);
  }

  take(): Fault {
    return this.queued.shift() ?? this.standing;
  }
}
