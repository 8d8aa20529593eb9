import type { EndpointState } from './EndpointState.js';
import type { RandomSource } from 'hickoryrelay/RandomSource';

/** Cost of a failed request in the comparison of endpoints, in milliseconds. */
export const FAILURE_MILLISECONDS = 400;

/** Cost of leaving the zone: two crossings and the bytes that are paid for, in milliseconds. */
export const OTHER_ZONE_MILLISECONDS = 25;

/** Range of the random part, so that instances that see the same do not choose the same. */
const RANDOM_MILLISECONDS = 4;

/** Cost of a batch of requests that fills an endpoint, in milliseconds. */
const FULL_MILLISECONDS = 50;

/** What a choice looks at. */
export interface PlacementContext {
  readonly zone: string;
  readonly random: RandomSource;
  /** Steady clock, in milliseconds. */
  readonly now: number;
  /** Endpoints that this request has tried. */
  readonly tried: ReadonlySet<EndpointState>;
  /** Tokens that the memory of one engine holds; 0 for plain services. */
  readonly cacheCapacityTokens: number;
}

/** Drops tried, ejected and silent endpoints; tried ones always, the others while any is left. */
export function usable(
  states: readonly EndpointState[],
  context: PlacementContext,
): EndpointState[] {
  const untried = states.filter((state) => !context.tried.has(state));
  const sound = untried.filter(
    (state) => !state.isEjected(context.now) && !state.isUnresponsive(context.now),
  );
  return sound.length > 0 ? sound : untried;
}

/** Chooses endpoints of plain services. Holds no state; everything comes from the endpoints. */
export class ServicePlacement {
  /** Chooses the endpoint with the least expected delay. */
  choose(states: readonly EndpointState[], context: PlacementContext): EndpointState | undefined {
    const candidates = usable(states, context);
    const meanFailures =
      candidates.reduce((sum, state) => sum + state.failureRate(context.now), 0) /
      Math.max(1, candidates.length);
    let best: EndpointState | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const state of candidates) {
      const excessFailures = Math.max(0, state.failureRate(context.now) - meanFailures);
      const cost =
        (state.totalRunning / state.record.slots) * FULL_MILLISECONDS +
        state.excessDelayMilliseconds(context.now) +
        excessFailures * FAILURE_MILLISECONDS +
        (state.record.zone === context.zone ? 0 : OTHER_ZONE_MILLISECONDS) +
        context.random.fraction() * RANDOM_MILLISECONDS;
      if (cost < bestCost) {
        best = state;
        bestCost = cost;
      }
    }
    return best;
  }
}
