import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';

import { CallTrace } from './CallTrace.js';
import { EndpointNotices } from './EndpointNotices.js';
import { ForwardedCall } from './ForwardedCall.js';
import { RETRY_AFTER_MILLISECONDS } from './ForwardingLimits.js';
import { addRetryAfterJitter } from './RequestAdmission.js';
import { ReturnSchedule } from './ReturnSchedule.js';
import { ShortageAdmission } from './ShortageAdmission.js';

import type { ForwardedCallParts } from './CallContext.js';
import type { CapacityAdmission } from './CapacityAdmission.js';
import type { ForwardedRequest } from './ForwardedRequest.js';
import type { ForwardingMetrics } from './ForwardingMetrics.js';
import type { RequestAdmission } from './RequestAdmission.js';
import type { ResponseSink } from './ResponseSink.js';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { RemoteUsage } from 'hickoryrelay-admission/RemoteUsage';

const BAD_GATEWAY = 502;
const SERVICE_UNAVAILABLE = 503;

/** The collaborators of the exchange. */
export interface ForwardingExchangeParts extends Omit<
  ForwardedCallParts,
  'capacity' | 'notices' | 'returns'
> {
  /** Replaces the admission under shortage, to compare with another one. */
  readonly capacity?: CapacityAdmission;
  /** What other instances report of the accounts' use. */
  readonly remoteUsage?: RemoteUsage;
  readonly admission: RequestAdmission;
  readonly metrics: ForwardingMetrics;
  readonly log: ComponentLogger;
}

/** Handles each request from its arrival to its response, and writes one log line for it. */
export class ForwardingExchange {
  private readonly parts: ForwardingExchangeParts;

  private readonly notices: EndpointNotices;

  private readonly returns: ReturnSchedule;

  private readonly capacity: CapacityAdmission;

  private open = 0;

  constructor(parts: ForwardingExchangeParts) {
    this.parts = parts;
    this.notices = new EndpointNotices(parts);
    this.capacity =
      parts.capacity ??
      new ShortageAdmission({ ...parts, countInstances: () => parts.view.peers.length });
    this.returns = new ReturnSchedule(parts.registry);
  }

  /** Number of requests in flight. */
  get openRequests(): number {
    return this.open;
  }

  /** Responds to one request. Never rejects. */
  async handle(request: ForwardedRequest, sink: ResponseSink): Promise<void> {
    const trace = new CallTrace();
    trace.attempts = request.relayed?.attemptsMade ?? 0;
    trace.resumedRequest = request.resumedRequest;
    trace.stoppingMilliseconds = this.parts.shutdown.elapsedAt(request.arrivedMilliseconds);
    this.open += 1;
    let outcome = 'failed';
    try {
      outcome = await this.answer(request, sink, trace);
    } catch (error) {
      trace.addStep(describeFailure(failureOf(error)));
      if (!sink.gone.aborted) {
        if (sink.hasSent) {
          sink.abort();
        } else {
          sink.answer({ status: BAD_GATEWAY, reason: 'the request failed' });
        }
      }
    } finally {
      this.open -= 1;
      this.record(request, trace, outcome);
    }
  }

  private async answer(
    request: ForwardedRequest,
    sink: ResponseSink,
    trace: CallTrace,
  ): Promise<string> {
    if (this.isBehind(request)) {
      return this.refuseBehind(sink, trace);
    }
    const admitted = this.parts.admission.admit(request, trace);
    if (admitted.kind === 'answered') {
      trace.addStep(admitted.own.reason);
      sink.answer(admitted.own);
      return `own-${admitted.own.status}`;
    }
    const { notices, returns, capacity } = this;
    const parts = { ...this.parts, notices, returns, capacity };
    return new ForwardedCall(parts, request, admitted, sink, trace).run();
  }

  /** True if the instance that has passed the request on knows a newer configuration than this one. */
  private isBehind({ relayed }: ForwardedRequest): boolean {
    const { configuration } = this.parts.view;
    const minimum = relayed?.minimumConfiguration ?? Number.NEGATIVE_INFINITY;
    return (configuration?.version ?? Number.NEGATIVE_INFINITY) < minimum;
  }

  private refuseBehind(sink: ResponseSink, trace: CallTrace): string {
    const reason =
      'the configuration is older than that of the instance that passed the request on';
    trace.addStep(reason);
    sink.answer({
      status: SERVICE_UNAVAILABLE,
      reason,
      retryAfterMilliseconds: addRetryAfterJitter(
        RETRY_AFTER_MILLISECONDS.NoView,
        this.parts.random,
      ),
      isUnreachable: true,
    });
    return `own-${SERVICE_UNAVAILABLE}`;
  }

  private record(request: ForwardedRequest, trace: CallTrace, outcome: string): void {
    const durationMilliseconds =
      this.parts.clock.monotonicMilliseconds() - request.arrivedMilliseconds;
    this.parts.metrics.record(trace, outcome, durationMilliseconds);
    this.parts.log.info('The request ended.', {
      request: request.identifier,
      outcome,
      milliseconds: Math.round(durationMilliseconds),
      ...trace.fields(),
    });
  }
}
