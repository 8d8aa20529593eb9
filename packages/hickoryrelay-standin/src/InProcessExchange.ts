import { Fault, FaultPlan } from './FaultPlan.js';
import { FaultKind, FaultTally } from './FaultTally.js';
import type { ProcessClock } from './ProcessClock.js';
import type { Clock } from 'hickoryrelay/Clock';

const DEFAULT_TIMEOUT_MILLISECONDS = 2000;

/** Why an exchange got no response. */
export interface ExchangeFailure {
  readonly reason: string;
  /** False only if the request had no effect and never will. */
  readonly mayHaveTakenEffect: boolean;
}

/** Separate exchanges with a stand-in, so that tests can delay orders without delaying reads. */
export interface OrderExchanges {
  readonly orders: InProcessExchange;
  readonly reads: InProcessExchange;
}

/**
 * Sends requests from one simulated process to a stand-in, with injected faults and delays. A request
 * takes effect after its delay even if the sender has timed out or was paused or killed by then.
 */
export class InProcessExchange {
  readonly faults = new FaultPlan();

  /** Counts the injected faults that took effect. */
  tally = new FaultTally();

  /** Delay before a request takes effect. */
  requestDelayMilliseconds = 0;

  /** Delay between the effect and the arrival of the response. */
  responseDelayMilliseconds = 0;

  timeoutMilliseconds = DEFAULT_TIMEOUT_MILLISECONDS;

  private readonly network: Clock;

  private readonly process: ProcessClock;

  constructor(network: Clock, process: ProcessClock) {
    this.network = network;
    this.process = process;
  }

  setDelays(requestDelayMilliseconds: number, responseDelayMilliseconds: number): void {
    this.requestDelayMilliseconds = requestDelayMilliseconds;
    this.responseDelayMilliseconds = responseDelayMilliseconds;
  }

  /** Applies the effect unless a fault prevents it. Throws `toError` if there is no response. */
  async send<Answer>(
    effect: () => Answer,
    toError: (reason: ExchangeFailure) => Error,
  ): Promise<Answer> {
    const fault = this.faults.takeNext();
    if (fault === Fault.Refuse) {
      this.tally.count(FaultKind.Refusal);
      throw toError({ reason: 'connection refused', mayHaveTakenEffect: false });
    }
    if (this.requestDelayMilliseconds + this.responseDelayMilliseconds > 0) {
      this.tally.count(FaultKind.DelayedRequest);
    }
    const outcome = await this.performWithTimeout(effect, fault);
    await this.process.waitForDelivery();
    if (outcome === undefined) {
      throw toError({ reason: 'no response', mayHaveTakenEffect: true });
    }
    if ('error' in outcome) {
      throw outcome.error;
    }
    return outcome.answer;
  }

  private async performWithTimeout<Answer>(
    effect: () => Answer,
    fault: Fault,
  ): Promise<{ answer: Answer } | { error: unknown } | undefined> {
    let cancelTimeout = () => {};
    const timedOut = new Promise<undefined>((resolve) => {
      cancelTimeout = this.network.schedule(this.timeoutMilliseconds, () => resolve(undefined));
    });
    const response = this.perform(effect).then(async (outcome) => {
      if (fault === Fault.LoseResponse) {
        this.tally.count(FaultKind.LostResponse);
        return undefined;
      }
      if (fault === Fault.Silent) {
        this.tally.count(FaultKind.SilentConnection);
        return timedOut;
      }
      return outcome;
    });
    const outcome = await Promise.race([response, timedOut]);
    cancelTimeout();
    return outcome;
  }

  private async perform<Answer>(
    effect: () => Answer,
  ): Promise<{ answer: Answer } | { error: unknown }> {
    await this.delay(this.requestDelayMilliseconds);
    let outcome: { answer: Answer } | { error: unknown };
    try {
      outcome = { answer: effect() };
    } catch (error) {
      outcome = { error };
    }
    await this.delay(this.responseDelayMilliseconds);
    return outcome;
  }

  private async delay(milliseconds: number): Promise<void> {
    if (milliseconds > 0) {
      await this.network.sleep(milliseconds);
    }
  }
}
