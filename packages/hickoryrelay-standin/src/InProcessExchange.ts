import { Fault, FaultPlan } from './FaultPlan.js';
import { FaultKind, FaultTally } from './FaultTally.js';
import type { ProcessClock } from './ProcessClock.js';
import type { Clock } from 'hickoryrelay/Clock';

const DEFAULT_TIMEOUT_MILLISECONDS = 2000;

/** Why an exchange has no answer. */
export interface NoAnswer {
  readonly reason: string;
  /** False only if the request had no effect and will have none. */
  readonly mayHaveTakenEffect: boolean;
}

/** The ways of one simulated process to a stand-in: orders may be held up while reads pass. */
export interface OrderExchanges {
  readonly orders: InProcessExchange;
  readonly reads: InProcessExchange;
}

/**
 * Requests from one simulated process to a stand-in, with faults and delays. A request takes effect
 * after its delay even if the caller has timed out, paused or died by then.
 */
export class InProcessExchange {
  readonly faults = new FaultPlan();

  /** Takes the faults that took effect. */
  tally = new FaultTally();

  /** Time until a request takes effect, in milliseconds. */
  requestMilliseconds = 0;

  /** Time until the answer is back, in milliseconds. */
  answerMilliseconds = 0;

  timeoutMilliseconds = DEFAULT_TIMEOUT_MILLISECONDS;

  private readonly network: Clock;

  private readonly process: ProcessClock;

  constructor(network: Clock, process: ProcessClock) {
    this.network = network;
    this.process = process;
  }

  /** Sets both delays. */
  slow(requestMilliseconds: number, answerMilliseconds: number): void {
    this.requestMilliseconds = requestMilliseconds;
    this.answerMilliseconds = answerMilliseconds;
  }

  /** Applies the effect as the faults allow. Throws what `toError` makes of a missing answer. */
  async send<Answer>(effect: () => Answer, toError: (reason: NoAnswer) => Error): Promise<Answer> {
    const fault = this.faults.take();
    if (fault === Fault.Refuse) {
      this.tally.count(FaultKind.Refusal);
      throw toError({ reason: 'connection refused', mayHaveTakenEffect: false });
    }
    if (this.requestMilliseconds + this.answerMilliseconds > 0) {
      this.tally.count(FaultKind.DelayedRequest);
    }
    const outcome = await this.firstOf(effect, fault);
    await this.process.arrive();
    if (outcome === undefined) {
      throw toError({ reason: 'no answer', mayHaveTakenEffect: true });
    }
    if ('error' in outcome) {
      throw outcome.error;
    }
    return outcome.answer;
  }

  private async firstOf<Answer>(
    effect: () => Answer,
    fault: Fault,
  ): Promise<{ answer: Answer } | { error: unknown } | undefined> {
    let cancelTimeout = () => {};
    const timedOut = new Promise<undefined>((resolve) => {
      cancelTimeout = this.network.schedule(this.timeoutMilliseconds, () => resolve(undefined));
    });
    const answered = this.perform(effect).then(async (outcome) => {
      if (fault === Fault.LoseAnswer) {
        this.tally.count(FaultKind.LostAnswer);
        return undefined;
      }
      if (fault === Fault.Silent) {
        this.tally.count(FaultKind.SilentConnection);
        return timedOut;
      }
      return outcome;
    });
    const outcome = await Promise.race([answered, timedOut]);
    cancelTimeout();
    return outcome;
  }

  private async perform<Answer>(
    effect: () => Answer,
  ): Promise<{ answer: Answer } | { error: unknown }> {
    await this.delay(this.requestMilliseconds);
    let outcome: { answer: Answer } | { error: unknown };
    try {
      outcome = { answer: effect() };
    } catch (error) {
      outcome = { error };
    }
    await this.delay(this.answerMilliseconds);
    return outcome;
  }

  private async delay(milliseconds: number): Promise<void> {
    if (milliseconds > 0) {
      await this.network.sleep(milliseconds);
    }
  }
}
