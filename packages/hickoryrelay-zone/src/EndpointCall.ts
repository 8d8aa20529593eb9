import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { Engine } from 'hickoryrelay-endpoint/Engine';

import type { Clock } from 'hickoryrelay/Clock';
import type { ClassTargets } from 'hickoryrelay-contract/ClassOfWork';
import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';
import type { Call } from 'hickoryrelay-link/Call';

/** Part of a lateness target that an endpoint may use; the rest is for waiting before admission. */
const ENDPOINT_PART = 0.5;

/** The time between tokens is learned over this many; fewer say too little. */
const TOKENS_TO_LEARN = 16;

/** One attempt to run a call at an endpoint: it updates what this instance knows of the endpoint. */
export class EndpointCall {
  private readonly endpoint: Endpoint;

  private readonly targets: ClassTargets['lateness'];

  private readonly isModelCall: boolean;

  private readonly isStreaming: boolean;

  private readonly clock: Clock;

  private readonly endings: (() => void)[];

  private readonly recordOutcome: (succeeded: boolean | undefined, at: number) => void;

  private readonly sentMilliseconds: number;

  private firstMilliseconds: number | undefined;

  private mark: { readonly tokens: number; readonly atMilliseconds: number } | undefined;

  constructor(endpoint: Endpoint, call: Call, targets: ClassTargets['lateness'], clock: Clock) {
    this.endpoint = endpoint;
    this.targets = targets;
    this.isModelCall = call.kind === WorkKind.Model;
    this.isStreaming = call.kind === WorkKind.Model && call.isStreaming;
    this.clock = clock;
    this.sentMilliseconds = clock.monotonicMilliseconds();
    this.recordOutcome = endpoint.breaker.startCall(this.sentMilliseconds);
    this.endings = [endpoint.startCall()];
    if (endpoint instanceof Engine && call.kind === WorkKind.Model) {
      const keys = call.prefixKeys ?? [];
      const saved = endpoint.prefixIndex.expectedCachedTokens(keys);
      const prefillTokens = Math.max(0, call.promptTokens - saved);
      this.endings.push(endpoint.load.startCall(prefillTokens, this.sentMilliseconds));
      endpoint.prefixIndex.recordOwnCall(keys);
    }
  }

  /** Records that the first piece of the answer has arrived. */
  firstPiece(): void {
    if (this.firstMilliseconds === undefined) {
      this.firstMilliseconds = this.clock.monotonicMilliseconds();
      const target = this.targets.firstTokenMilliseconds;
      if (this.isStreaming && target !== undefined) {
        this.learn((this.firstMilliseconds - this.sentMilliseconds) / (target * ENDPOINT_PART));
      }
    }
  }

  /** Records the number of tokens that have arrived so far. */
  progress(tokens: number): void {
    const target = this.targets.betweenTokensMilliseconds;
    const now = this.clock.monotonicMilliseconds();
    const gained = tokens - (this.mark?.tokens ?? tokens);
    if (this.mark !== undefined && gained < TOKENS_TO_LEARN) {
      return;
    }
    if (this.mark !== undefined && target !== undefined) {
      this.learn((now - this.mark.atMilliseconds) / gained / target);
    }
    this.mark = { tokens, atMilliseconds: now };
  }

  /** Ends the attempt. A call that was cancelled (undefined) says nothing about the endpoint. */
  end(succeeded: boolean | undefined): void {
    const now = this.clock.monotonicMilliseconds();
    this.recordOutcome(succeeded, now);
    const target = this.targets.completionMilliseconds;
    if (succeeded === true && !this.isModelCall && target !== undefined) {
      this.learn((now - this.sentMilliseconds) / (target * ENDPOINT_PART));
    }
    for (const ending of this.endings.splice(0)) {
      ending();
    }
  }

  private learn(ratio: number): void {
    const { callsInFlight, limit } = this.endpoint;
    limit.record(ratio, callsInFlight, this.clock.monotonicMilliseconds());
  }
}
