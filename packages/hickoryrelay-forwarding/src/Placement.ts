import { hashText } from 'hickoryrelay/RendezvousUtils';

import { EngineStage } from './EndpointRecord.js';

import type { EndpointState } from './EndpointState.js';
import type { ForwardedRequest, PromptPart } from './ForwardedRequest.js';
import type { RandomSource } from 'hickoryrelay/RandomSource';

/** Cost of a failed request in the comparison of endpoints, in milliseconds. */
const FAILURE_MILLISECONDS = 400;

/** Cost of leaving the zone: two crossings and the bytes that are paid for, in milliseconds. */
const OTHER_ZONE_MILLISECONDS = 25;

/** Range of the random part, so that instances that see the same do not choose the same. */
const RANDOM_MILLISECONDS = 4;

/** Time that one more running request costs the others in a batch of an engine, in milliseconds. */
const ENGINE_SHARE_MILLISECONDS = 6;

/** Prompt tokens that an engine reads in a millisecond; only ratios between engines matter. */
const READING_TOKENS_PER_MILLISECOND = 55;

/** What a choice looks at. */
export interface PlacementContext {
  readonly zone: string;
  readonly random: RandomSource;
  /** Steady clock, in milliseconds. */
  readonly now: number;
  /** Endpoints that this request has tried. */
  readonly tried: ReadonlySet<EndpointState>;
}

/** The largest part of the prompt that other requests share; undefined if there is none. */
export function sharedPartOf(request: ForwardedRequest): PromptPart | undefined {
  return request.promptParts
    .slice(0, -1)
    .reduce<PromptPart | undefined>(
      (largest, part) => (part.tokens > (largest?.tokens ?? 0) ? part : largest),
      undefined,
    );
}

/** Drops tried, ejected and silent endpoints; tried ones always, the others while any is left. */
function usable(states: readonly EndpointState[], context: PlacementContext): EndpointState[] {
  const untried = states.filter((state) => !context.tried.has(state));
  const sound = untried.filter(
    (state) => !state.isEjected(context.now) && !state.isSilent(context.now),
  );
  return sound.length > 0 ? sound : untried;
}

function cheapest(
  states: readonly EndpointState[],
  costOf: (state: EndpointState) => number,
): EndpointState | undefined {
  let best: EndpointState | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const state of states) {
    const cost = costOf(state);
    if (cost < bestCost) {
      best = state;
      bestCost = cost;
    }
  }
  return best;
}

/** Chooses an endpoint for a request. Holds no state; everything comes from the endpoints. */
export class Placement {
  /** Chooses the endpoint of a plain service with the least expected delay. */
  chooseService(
    states: readonly EndpointState[],
    context: PlacementContext,
  ): EndpointState | undefined {
    const candidates = usable(states, context);
    const meanFailures =
      candidates.reduce((sum, state) => sum + state.failures(context.now), 0) /
      Math.max(1, candidates.length);
    return cheapest(candidates, (state) => {
      const { slots } = state.record;
      const excessFailures = Math.max(0, state.failures(context.now) - meanFailures);
      return (
        (state.running / slots) * OTHER_ZONE_MILLISECONDS * 2 +
        state.delay(context.now) +
        this.commonCost(state, context, excessFailures)
      );
    });
  }

  /** Chooses the engine that runs a generation. */
  chooseEngine(
    states: readonly EndpointState[],
    context: PlacementContext,
  ): EndpointState | undefined {
    const candidates = usable(
      states.filter(({ record }) => record.stage !== EngineStage.Prefill),
      context,
    );
    return cheapest(
      candidates,
      (state) =>
        state.running * ENGINE_SHARE_MILLISECONDS +
        state.delay(context.now) +
        this.commonCost(state, context, state.failures(context.now)),
    );
  }

  /**
   * Chooses the engine that reads a long prompt: by rendezvous hashing of the shared part, so that
   * all instances find the engine that has read it before, unless that one is busy for longer than
   * reading the part again takes.
   */
  chooseReader(
    states: readonly EndpointState[],
    request: ForwardedRequest,
    context: PlacementContext,
  ): EndpointState | undefined {
    const candidates = usable(
      states.filter(({ record }) => record.stage === EngineStage.Prefill),
      context,
    );
    const shared = sharedPartOf(request);
    const preferred = cheapest(
      candidates,
      (state) => -hashText(`${shared?.identifier ?? ''}|${state.record.identifier}`),
    );
    const rereadMilliseconds = (shared?.tokens ?? 0) / READING_TOKENS_PER_MILLISECOND;
    return cheapest(
      candidates,
      (state) =>
        state.readingTokens / READING_TOKENS_PER_MILLISECOND +
        state.delay(context.now) +
        state.failures(context.now) * FAILURE_MILLISECONDS +
        (state === preferred ? 0 : rereadMilliseconds),
    );
  }

  private commonCost(state: EndpointState, context: PlacementContext, failures: number): number {
    return (
      failures * FAILURE_MILLISECONDS +
      (state.record.zone === context.zone ? 0 : OTHER_ZONE_MILLISECONDS) +
      context.random.fraction() * RANDOM_MILLISECONDS
    );
  }
}
