import type { EndpointState } from './EndpointState.js';
import type { RandomSource } from 'hickoryrelay/RandomSource';

/** Cost of a failed request, scaled by the failure rate of the endpoint. */
export const FAILURE_PENALTY_MILLISECONDS = 400;

/** Cost of an endpoint in another zone: two zone crossings and paid traffic between zones. */
export const CROSS_ZONE_PENALTY_MILLISECONDS = 25;

/** Random cost that keeps instances with the same view from choosing the same endpoint. */
const JITTER_MILLISECONDS = 4;

/** Cost at full load; scales with the ratio of requests in flight to slots. */
const FULL_LOAD_PENALTY_MILLISECONDS = 50;

/** Inputs to the choice of an endpoint, apart from the candidates. */
export interface PlacementContext {
  readonly zone: string;
  readonly random: RandomSource;
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** Endpoints that the request has already been sent to, or that could not be reached. */
  readonly tried: ReadonlySet<EndpointState>;
  /** KV cache capacity of one engine; 0 for services without engines. */
  readonly cacheCapacityTokens: number;
}

/**
 * Excludes endpoints that the request has tried or that take no requests. Excludes ejected and
 * unresponsive ones as well, unless no other endpoint is left.
 */
export function eligibleEndpoints(
  states: readonly EndpointState[],
  context: PlacementContext,
): EndpointState[] {
  const untried = states.filter(
    (state) => !context.tried.has(state) && state.availability.allowsRequest(context.now),
  );
  const healthy = untried.filter(
    (state) => !state.isEjected(context.now) && !state.isUnresponsive(context.now),
  );
  return healthy.length > 0 ? healthy : untried;
}

/** Chooses endpoints for services without engines. Stateless. */
export class ServicePlacement {
  /** Returns the endpoint with the lowest expected delay. */
  choose(states: readonly EndpointState[], context: PlacementContext): EndpointState | undefined {
    const candidates = eligibleEndpoints(states, context);
    const meanFailureRate =
      candidates.reduce((sum, state) => sum + state.failureRate(context.now), 0) /
      Math.max(1, candidates.length);
    let best: EndpointState | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const state of candidates) {
      const excessFailureRate = Math.max(0, state.failureRate(context.now) - meanFailureRate);
      const cost =
        (state.totalRunning / state.record.slots / state.speed.relative) *
          FULL_LOAD_PENALTY_MILLISECONDS +
        (state.speed.responseMilliseconds ?? 0) +
        state.excessDelayMilliseconds(context.now) +
        excessFailureRate * FAILURE_PENALTY_MILLISECONDS +
        (state.record.zone === context.zone ? 0 : CROSS_ZONE_PENALTY_MILLISECONDS) +
        context.random.fraction() * JITTER_MILLISECONDS;
      if (cost < bestCost) {
        best = state;
        bestCost = cost;
      }
    }
    return best;
  }
}
