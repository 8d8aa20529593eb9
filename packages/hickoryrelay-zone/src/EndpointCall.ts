import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { Engine } from 'hickoryrelay-endpoint/Engine';

import type { Clock } from 'hickoryrelay/Clock';
import type { ClassTargets } from 'hickoryrelay-contract/ClassOfWork';
import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';
import type {
  AvailabilityChange,
  EndpointNotice,
  SendPermit,
} from 'hickoryrelay-endpoint/EndpointAvailability';
import type { Call } from 'hickoryrelay-link/Call';

/** Fraction of a lateness target for the endpoint; the rest is for queueing before admission. */
const ENDPOINT_TARGET_FRACTION = 0.5;

/** Tokens per sample of the time between tokens; the average over fewer tokens is too noisy. */
const TOKENS_PER_SAMPLE = 16;

/**
 * One attempt to run a call on an endpoint. Feeds the endpoint's circuit breaker, in-flight limit,
 * load estimate and prefix index.
 */
export class EndpointCall {
  /** The permission to send the call. */
  readonly permit: SendPermit;

  private readonly endpoint: Endpoint;

  private readonly targets: ClassTargets['lateness'];

  private readonly isModelCall: boolean;

  private readonly isStreaming: boolean;

  private readonly clock: Clock;

  private readonly cleanUps: (() => void)[];

  private readonly recordOutcome: (succeeded: boolean | undefined, at: number) => void;

  private readonly sentMilliseconds: number;

  private firstChunkMilliseconds: number | undefined;

  private lastSample: { readonly tokens: number; readonly atMilliseconds: number } | undefined;

  constructor(endpoint: Endpoint, call: Call, targets: ClassTargets['lateness'], clock: Clock) {
    this.endpoint = endpoint;
    this.targets = targets;
    this.isModelCall = call.kind === WorkKind.Model;
    this.isStreaming = call.kind === WorkKind.Model && call.isStreaming;
    this.clock = clock;
    this.sentMilliseconds = clock.monotonicMilliseconds();
    this.permit = endpoint.availability.startRequest(this.sentMilliseconds, clock);
    this.recordOutcome = endpoint.breaker.startCall(this.sentMilliseconds);
    this.cleanUps = [endpoint.startCall(), () => this.permit.end()];
    if (endpoint instanceof Engine && call.kind === WorkKind.Model) {
      const keys = call.prefixKeys ?? [];
      const cachedTokens = endpoint.prefixIndex.expectedCachedTokens(keys);
      const prefillTokens = Math.max(0, call.promptTokens - cachedTokens);
      this.cleanUps.push(endpoint.load.startCall(prefillTokens, this.sentMilliseconds));
      endpoint.prefixIndex.recordOwnCall(keys);
    }
  }

  /** Applies what the endpoint states in the head of its response. */
  receiveNotice(notice: EndpointNotice): AvailabilityChange {
    const now = this.clock.monotonicMilliseconds();
    const { availability } = this.endpoint;
    if (notice.rateLimit !== undefined) {
      availability.rateLimit.receive(notice.rateLimit, this.permit.startedMilliseconds, now);
    }
    return availability.receive(notice, this.permit, now);
  }

  /** Records that the first chunk of the response has arrived. Later chunks have no effect. */
  recordFirstChunk(): void {
    if (this.firstChunkMilliseconds === undefined) {
      this.firstChunkMilliseconds = this.clock.monotonicMilliseconds();
      const target = this.targets.firstTokenMilliseconds;
      if (this.isStreaming && target !== undefined) {
        this.recordLatencyRatio(
          (this.firstChunkMilliseconds - this.sentMilliseconds) /
            (target * ENDPOINT_TARGET_FRACTION),
        );
      }
    }
  }

  /** Records the number of tokens that have arrived so far. */
  progress(tokens: number): void {
    const target = this.targets.betweenTokensMilliseconds;
    const now = this.clock.monotonicMilliseconds();
    const newTokens = tokens - (this.lastSample?.tokens ?? tokens);
    if (this.lastSample !== undefined && newTokens < TOKENS_PER_SAMPLE) {
      return;
    }
    if (this.lastSample !== undefined && target !== undefined) {
      this.recordLatencyRatio((now - this.lastSample.atMilliseconds) / newTokens / target);
    }
    this.lastSample = { tokens, atMilliseconds: now };
  }

  /** Ends the attempt. The outcome is undefined for a cancelled call, which is not counted. */
  end(succeeded: boolean | undefined): void {
    const now = this.clock.monotonicMilliseconds();
    this.recordOutcome(succeeded, now);
    const target = this.targets.completionMilliseconds;
    if (succeeded === true && !this.isModelCall && target !== undefined) {
      this.recordLatencyRatio((now - this.sentMilliseconds) / (target * ENDPOINT_TARGET_FRACTION));
    }
    for (const cleanUp of this.cleanUps.splice(0)) {
      cleanUp();
    }
  }

  private recordLatencyRatio(ratio: number): void {
    const { callsInFlight, limit } = this.endpoint;
    limit.record(ratio, callsInFlight, this.clock.monotonicMilliseconds());
  }
}
