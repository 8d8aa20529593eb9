import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';

import { AbandonReason } from './OpenAttempt.js';

import type { CallTrace } from './CallTrace.js';
import type { EndpointAttempts } from './EndpointAttempts.js';
import type { EndpointResponseRelay } from './EndpointResponseRelay.js';
import type { OpenAttempt } from './OpenAttempt.js';

/** A choice may prefill the prompt of the request in vain, so it is not repeated without end. */
const MAXIMUM_FAILED_CHOICES = 3;

/** An attempt whose response can be relayed. */
export interface PreparedAttempt {
  readonly attempt: OpenAttempt;
  readonly relay: EndpointResponseRelay;
}

/** One hedge: the choice of another endpoint and the attempt at it, until the endpoint responds. */
interface Hedge {
  /** Resolves when the hedge has been refused, has failed or has taken the request. */
  readonly done: Promise<void>;
  readonly cancel: () => void;
  /** True once the hedge itself makes no progress for too long. */
  isOverdue: boolean;
}

/** What the hedges of a call need from it. */
export interface HedgedAttemptsParts {
  readonly attempts: EndpointAttempts;
  readonly trace: CallTrace;
  /** Calls back when an attempt makes no progress for too long. Returns the function that stops it. */
  readonly watch: (handleOverdue: () => void) => () => void;
}

/**
 * Sends an overdue request to another endpoint while its own one keeps it. The first of them that
 * continues gets the request, and the others are given up then. The silence of an endpoint is no
 * reason to take a request from it: if another one then refused the request, it would be lost.
 */
export class HedgedAttempts {
  private readonly parts: HedgedAttemptsParts;

  private readonly hedges = new Set<Hedge>();

  /** The attempt whose response the call relays or waits for, besides the hedges. */
  private current: OpenAttempt | undefined;

  private successor: PreparedAttempt | undefined;

  /** Hedges for which no endpoint was found although one seemed to be left. */
  private failedChoices = 0;

  constructor(parts: HedgedAttemptsParts) {
    this.parts = parts;
  }

  /** Sets the attempt that a hedge supersedes when it takes the request. */
  setCurrent(attempt: OpenAttempt | undefined): void {
    this.current = attempt;
  }

  /** Sends the request to another endpoint, if one can take it and no hedge is in progress. */
  start(): void {
    const isInProgress = [...this.hedges].some(({ isOverdue }) => !isOverdue);
    const mayStart = this.successor === undefined && !isInProgress;
    const canChoose = this.failedChoices < MAXIMUM_FAILED_CHOICES;
    if (!mayStart || !canChoose || !this.parts.attempts.canOpenAnother) {
      return;
    }
    const controller = new AbortController();
    const hedge: Hedge = {
      done: Promise.resolve().then(() => this.run(hedge, controller.signal)),
      cancel: () => controller.abort(),
      isOverdue: false,
    };
    this.hedges.add(hedge);
  }

  /** Gives up all hedges, as the current attempt continues. */
  cancel(): void {
    this.hedges.forEach((hedge) => hedge.cancel());
  }

  /** True if a hedge is in progress or has taken the request. */
  get isActive(): boolean {
    return this.successor !== undefined || this.hedges.size > 0;
  }

  /** Waits for the hedges in progress. Returns the attempt that has taken the request, if any. */
  async takeSuccessor(): Promise<PreparedAttempt | undefined> {
    while (this.successor === undefined && this.hedges.size > 0) {
      await Promise.race([...this.hedges].map(({ done }) => done));
    }
    const { successor } = this;
    this.successor = undefined;
    return successor;
  }

  /** Gives up everything that is in progress and waits for its end. */
  async close(): Promise<void> {
    this.cancel();
    await Promise.all([...this.hedges].map(({ done }) => done));
    const { successor } = this;
    this.successor = undefined;
    if (successor !== undefined) {
      successor.attempt.abandon(AbandonReason.Unneeded);
      successor.relay.discard();
      successor.attempt.close();
    }
  }

  private async run(hedge: Hedge, signal: AbortSignal): Promise<void> {
    const { watch, trace } = this.parts;
    const stopWatching = watch(() => {
      Object.assign(hedge, { isOverdue: true });
      this.start();
    });
    let isLost = false;
    try {
      const attempt = await this.open(signal);
      if (attempt === undefined) {
        this.failedChoices += 1;
      } else {
        isLost = !(await this.runAttempt(hedge, attempt, signal, stopWatching));
      }
    } catch (error) {
      // Nobody waits for a hedge while the current attempt goes on.
      trace.addStep(`hedge: ${describeFailure(failureOf(error))}`);
    } finally {
      stopWatching();
      this.hedges.delete(hedge);
    }
    if (isLost && this.current !== undefined && !signal.aborted) {
      // The current attempt is still overdue.
      this.start();
    }
  }

  /** Starts an attempt at another endpoint. Returns undefined if none is left or needed. */
  private async open(signal: AbortSignal): Promise<OpenAttempt | undefined> {
    const { attempts } = this.parts;
    const destination = await attempts.choose(signal);
    if (typeof destination === 'string') {
      return undefined;
    }
    if (signal.aborted) {
      attempts.releasePrefilledPrompt(destination);
      return undefined;
    }
    const attempt = attempts.start(destination);
    return typeof attempt === 'string' ? undefined : attempt;
  }

  /** Returns true if the attempt has taken the request. Closes it otherwise. */
  private async runAttempt(
    hedge: Hedge,
    attempt: OpenAttempt,
    signal: AbortSignal,
    stopWatching: () => void,
  ): Promise<boolean> {
    const { attempts } = this.parts;
    const abandon = () => attempt.abandon(AbandonReason.Unneeded);
    signal.addEventListener('abort', abandon);
    if (signal.aborted) {
      abandon();
    }
    let result;
    try {
      const prepared = await attempts.prepare(attempt, stopWatching);
      if (typeof prepared !== 'string') {
        this.supersede(hedge, { attempt, relay: prepared });
        return true;
      }
      result = prepared;
    } catch (error) {
      result = await attempts.resultOf(attempt, error);
    }
    attempts.recordResult(attempt, result);
    attempt.close();
    return false;
  }

  /** Gives the request to a hedge and gives up all other attempts. */
  private supersede(hedge: Hedge, successor: PreparedAttempt): void {
    try {
      successor.attempt.assertWanted();
    } catch (error) {
      successor.relay.discard();
      throw error;
    }
    this.hedges.delete(hedge);
    this.successor = successor;
    this.cancel();
    this.current?.abandon(AbandonReason.Superseded);
  }
}
