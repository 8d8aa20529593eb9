import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { Engine } from 'hickoryrelay-endpoint/Engine';

import type { ClassTargets } from 'hickoryrelay-contract/ClassOfWork';
import type { Clock } from 'hickoryrelay/Clock';
import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';
import type { Call } from 'hickoryrelay-link/Call';

/** Part of a lateness target that an endpoint may use; the rest is for waiting before admission. */
const ENDPOINT_PART = 0.5;

/** Fewer tokens say too little about the time between tokens. */
const LEAST_TOKENS = 4;

/** One attempt to run a call at an endpoint: it updates what this instance knows of the endpoint. */
export class EndpointCall {
  private readonly endpoint: Endpoint;

  private readonly targets: ClassTargets['lateness'];

  private readonly isModelCall: boolean;

  private readonly clock: Clock;

  private readonly endings: (() => void)[];

  private readonly recordOutcome: (succeeded: boolean | undefined, at: number) => void;

  private readonly sentMilliseconds: number;

  private firstMilliseconds: number | undefined;

  constructor(endpoint: Endpoint, call: Call, targets: ClassTargets['lateness'], clock: Clock) {
    this.endpoint = endpoint;
    this.targets = targets;
    this.isModelCall = call.kind === WorkKind.Model;
    this.clock = clock;
    this.sentMilliseconds = clock.monotonicMilliseconds();
    this.recordOutcome = endpoint.breaker.begin(this.sentMilliseconds);
    this.endings = [endpoint.beginCall()];
    if (endpoint instanceof Engine && call.kind === WorkKind.Model) {
      const keys = call.prefixKeys ?? [];
      const saved = endpoint.prefixes.cachedTokens(keys);
      const prefillTokens = Math.max(0, call.promptTokens - saved);
      this.endings.push(endpoint.load.begin(prefillTokens, this.sentMilliseconds));
      endpoint.prefixes.recordOwnCall(keys);
    }
  }

  /** Records that the first piece of the answer has arrived. */
  firstPiece(): void {
    if (this.firstMilliseconds === undefined) {
      this.firstMilliseconds = this.clock.monotonicMilliseconds();
      const target = this.targets.firstTokenMilliseconds;
      if (this.isModelCall && target !== undefined) {
        this.learn((this.firstMilliseconds - this.sentMilliseconds) / (target * ENDPOINT_PART));
      }
    }
  }

  /** Records the number of tokens that have arrived so far. */
  progress(tokens: number): void {
    const target = this.targets.betweenTokensMilliseconds;
    if (this.firstMilliseconds !== undefined && target !== undefined && tokens >= LEAST_TOKENS) {
      const elapsed = this.clock.monotonicMilliseconds() - this.firstMilliseconds;
      this.learn(elapsed / (tokens - 1) / target);
    }
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
