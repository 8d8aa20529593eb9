import { StaleLoadSelection } from 'hickoryrelay-workload/StaleLoadSelection';

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

/** Wait for a free slot, per queued request: mean time a slot is held, over the number of slots. */
export const SLOT_WAIT_MILLISECONDS = 30;

/** Limits the headroom where reports are older than the requests that they count. */
const MAXIMUM_HEADROOM_FRACTION = 0.5;

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

/**
 * Slots of an endpoint that may be taken although its reported load leaves them free: the standard
 * deviation of what peers have changed since their reports, and at most half of the slots.
 */
export function headroom(state: EndpointState, now: number): number {
  return Math.min(state.record.slots * MAXIMUM_HEADROOM_FRACTION, state.runningDeviation(now));
}

/** Chooses endpoints for services without engines. Keeps no state between choices. */
export class ServicePlacement {
  private readonly selection = new StaleLoadSelection();

  /** Distributes requests over the endpoints with the lowest expected delay. */
  choose(states: readonly EndpointState[], context: PlacementContext): EndpointState | undefined {
    const { now, random } = context;
    const candidates = eligibleEndpoints(states, context);
    const meanFailureRate =
      candidates.reduce((sum, state) => sum + state.failureRate(now), 0) /
      Math.max(1, candidates.length);
    this.selection.begin();
    for (const state of candidates) {
      const { slots, zone } = state.record;
      const { speed } = state;
      const excessFailureRate = Math.max(0, state.failureRate(now) - meanFailureRate);
      const running = state.expectedRunning(now);
      const freeSlots = slots - running - headroom(state, now);
      const step = FULL_LOAD_PENALTY_MILLISECONDS / slots / speed.relative;
      const slotWait = SLOT_WAIT_MILLISECONDS / speed.relative;
      const cost =
        running * step +
        Math.max(0, 1 - freeSlots) * slotWait +
        (speed.responseMilliseconds ?? 0) +
        state.excessDelayMilliseconds(now) +
        excessFailureRate * FAILURE_PENALTY_MILLISECONDS +
        (zone === context.zone ? 0 : CROSS_ZONE_PENALTY_MILLISECONDS) +
        random.fraction() * JITTER_MILLISECONDS;
      this.selection.add(cost, step, freeSlots, step + slotWait);
    }
    const unreportedRequests = candidates[0]?.unreportedRequests(now) ?? 0;
    return candidates[this.selection.choose(unreportedRequests, random)];
  }
}
