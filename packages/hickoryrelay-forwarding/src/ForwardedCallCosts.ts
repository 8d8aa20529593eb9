import { CallCosts } from 'hickoryrelay-admission/CallCosts';
import { MovingAverages } from 'hickoryrelay-admission/MovingAverages';

import { LATE_PRIORITY } from './ForwardingLimits.js';

import type { CallContext } from './CallContext.js';
import type { PrefillRate } from './PrefillRate.js';
import type { CallCost } from 'hickoryrelay-admission/CallCosts';
import type { WaitingCall } from 'hickoryrelay-admission/WaitingCall';

/**
 * Fraction of the latency target that a request may wait for room on the instance. The rest is left
 * for the endpoint. With 0.1 or 0.25, fewer requests of the simulated load are on time.
 */
const WAIT_FRACTION = 0.5;

/**
 * Longest wait. Of 640 instances, each sees a request end about every 150 ms, so that longer waits are
 * often in vain: endpoints rejected 194 attempts for each 100 requests instead of 182.
 */
const MAXIMUM_WAIT_MILLISECONDS = 250;

/**
 * Fraction of the latency target that the usual run time counts for. Otherwise, all requests of a route
 * with slow endpoints would count as late, and yield to those of any other route.
 */
const MAXIMUM_RUN_FRACTION = 0.5;

/** Time that a request holds a slot, until one of its class has ended. */
const DEFAULT_RUN_MILLISECONDS = 50;

/** Time for which a call that arrives at the queue now may wait. */
export function allowedWaitMilliseconds({ admitted, deadline }: CallContext): number {
  return Math.min(
    MAXIMUM_WAIT_MILLISECONDS,
    admitted.route.latencyTargetMilliseconds * WAIT_FRACTION,
    deadline.remaining() * WAIT_FRACTION,
  );
}

/** Priority of a call before its lateness: that of the account, or else that of the route. */
export function declaredPriorityOf({ admitted: { grant, route } }: CallContext): number {
  return grant?.priority ?? route.priority;
}

function promptTokensOf({ request }: CallContext): number {
  return request.promptSegments.reduce((sum, { tokens }) => sum + tokens, 0);
}

/**
 * Calls of one class have about the same cost, so that short ones do not displace long ones: a route,
 * with the binary logarithm of the length of the prompt.
 */
function classOf(call: CallContext): string {
  const { name } = call.admitted.route;
  return call.isGeneration ? `${name}/${Math.round(Math.log2(promptTokensOf(call) + 1))}` : name;
}

/** Describes forwarded calls to the queue. A call costs the time that it holds a slot. */
export class ForwardedCallCosts extends CallCosts<CallContext> {
  private readonly prefillRate: PrefillRate;

  private readonly runTimes = new MovingAverages();

  constructor(prefillRate: PrefillRate) {
    super();
    this.prefillRate = prefillRate;
  }

  override describe(call: CallContext): WaitingCall {
    const { admitted, request, parts } = call;
    return {
      // Requests without an account share one, so that they do not displace those of accounts.
      account: admitted.grant?.account ?? '',
      destination: admitted.service,
      className: classOf(call),
      priority: this.isLate(call) ? LATE_PRIORITY : declaredPriorityOf(call),
      arrivalMilliseconds: request.arrivedMilliseconds,
      latestStartMilliseconds: parts.clock.monotonicMilliseconds() + allowedWaitMilliseconds(call),
    };
  }

  override estimate(call: CallContext): CallCost {
    const decode = this.runTimes.get(classOf(call)) ?? DEFAULT_RUN_MILLISECONDS;
    const prefill = call.isGeneration ? promptTokensOf(call) / this.prefillRate.remote : 0;
    return { prefill, decode, total: prefill + decode };
  }

  override settle(_call: CallContext, estimate: CallCost): CallCost {
    return estimate;
  }

  override recordRunTime(call: CallContext, milliseconds: number): void {
    this.runTimes.record(classOf(call), milliseconds);
  }

  /** True if the response, or the first event of a stream, is expected after the latency target. */
  private isLate(call: CallContext): boolean {
    const { latencyTargetMilliseconds: target, isStreaming } = call.admitted.route;
    const run = isStreaming ? 0 : (this.runTimes.get(classOf(call)) ?? 0);
    return call.deadline.wouldBeLate(Math.min(run, target * MAXIMUM_RUN_FRACTION));
  }
}
