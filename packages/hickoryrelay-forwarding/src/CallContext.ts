import { RetrySemantics } from './ForwardingConfiguration.js';

import type { CallDeadline } from './CallDeadline.js';
import type { CallTrace } from './CallTrace.js';
import type { ConfirmedView } from './ConfirmedView.js';
import type { EndpointLink, PrefilledPrompt } from './EndpointLink.js';
import type { EndpointRegistry } from './EndpointRegistry.js';
import type { EndpointState } from './EndpointState.js';
import type { EnginePlacement, PromptSummary } from './EnginePlacement.js';
import type { ForwardedRequest } from './ForwardedRequest.js';
import type { EngineCapacity } from './ForwardingConfiguration.js';
import type { PrefillRate } from './PrefillRate.js';
import type { PromptCacheDirectory } from './PromptCacheDirectory.js';
import type { AdmissionResult } from './RequestAdmission.js';
import type { ResponseSink } from './ResponseSink.js';
import type { RetryBudgets } from './RetryBudgets.js';
import type { PlacementContext, ServicePlacement } from './ServicePlacement.js';
import type { UsageTally } from './UsageTally.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { RandomSource } from 'hickoryrelay/RandomSource';

/** What a call works with. */
export interface ForwardedCallParts {
  readonly zone: string;
  readonly view: ConfirmedView;
  readonly registry: EndpointRegistry;
  readonly services: ServicePlacement;
  readonly engines: EnginePlacement;
  readonly directory: PromptCacheDirectory;
  readonly prefillRate: PrefillRate;
  readonly link: EndpointLink;
  readonly budgets: RetryBudgets;
  readonly tally: UsageTally;
  /** The steady clock. */
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** A request that was admitted. */
export type AdmittedRequest = AdmissionResult & { readonly kind: 'admitted' };

/** Where a request is sent. */
export interface Destination {
  readonly state: EndpointState;
  /** Expected time of the reading in place, in milliseconds. */
  readonly prefillMilliseconds: number;
  /** Tokens that the engine reads itself, without fetching others; 0 if it reads none. */
  readonly prefillTokens: number;
  /** Memory of the prompt that another engine has read. */
  readonly prefilledPrompt?: PrefilledPrompt;
  /** Address of an engine from which shared parts of the prompt can be fetched. */
  readonly fetchFrom?: string | undefined;
}

/** What the parts of one call share: the request, its limits, and what was tried and seen. */
export class CallContext {
  readonly parts: ForwardedCallParts;

  readonly request: ForwardedRequest;

  readonly admitted: AdmittedRequest;

  readonly sink: ResponseSink;

  readonly trace: CallTrace;

  readonly deadline: CallDeadline;

  /** Endpoints that this request has been sent to, or that could not be reached. */
  readonly tried = new Set<EndpointState>();

  /** Last event that the caller has. */
  private lastDeliveredEvent: string | undefined;

  private hasEventWithoutIdentifier = false;

  constructor(
    parts: ForwardedCallParts,
    request: ForwardedRequest,
    admitted: AdmittedRequest,
    sink: ResponseSink,
    trace: CallTrace,
    deadline: CallDeadline,
  ) {
    this.parts = parts;
    this.request = request;
    this.admitted = admitted;
    this.sink = sink;
    this.trace = trace;
    this.deadline = deadline;
    this.lastDeliveredEvent = request.lastEvent;
  }

  get isGeneration(): boolean {
    return this.engine !== undefined;
  }

  /** What the engines of the service are like; undefined for plain services. */
  private get engine(): EngineCapacity | undefined {
    return this.parts.view.configuration?.services.get(this.admitted.service)?.engine;
  }

  get lastEvent(): string | undefined {
    return this.lastDeliveredEvent;
  }

  /** Records an event that the caller has. */
  recordDelivery(identifier: string | undefined): void {
    this.hasEventWithoutIdentifier ||= identifier === undefined;
    this.lastDeliveredEvent = identifier ?? this.lastDeliveredEvent;
  }

  /**
   * True if the request may be sent again although it may have run. An answer that has begun can
   * only be continued, and only after events that have an identifier.
   */
  get isRetryable(): boolean {
    const { retrySemantics } = this.admitted.route;
    if (this.sink.hasStarted) {
      return retrySemantics === RetrySemantics.Resumable && !this.hasEventWithoutIdentifier;
    }
    return retrySemantics !== RetrySemantics.AtMostOnce;
  }

  placementContext(): PlacementContext {
    const { zone, random, clock } = this.parts;
    return {
      zone,
      random,
      now: clock.monotonicMilliseconds(),
      tried: this.tried,
      cacheCapacityTokens: this.engine?.cacheCapacityTokens ?? 0,
    };
  }

  /** Records that an engine holds the shared part of a prompt now. */
  recordCachedSegment({ hash }: EndpointState, { shared, tokens }: PromptSummary): void {
    if (shared !== undefined) {
      const now = this.parts.clock.monotonicMilliseconds();
      this.parts.directory.recordOwn(
        {
          engine: hash,
          segment: shared.hash,
          sharedTokens: shared.tokens,
          ownTokens: tokens - shared.tokens,
        },
        now,
      );
    }
  }

  /** Counts a request that an endpoint has begun, for its client account. */
  recordUsage(): void {
    const { account } = this.trace;
    if (account !== undefined) {
      this.parts.tally.add(account, this.parts.clock.wallMilliseconds());
    }
  }
}
