import { EngineStage } from './EndpointRecord.js';

import type { EndpointState } from './EndpointState.js';

/**
 * Requests that an engine holds for each of its slots: one that runs and, as engines queue up to about
 * three times their slots by priority, three that wait.
 */
const ENGINE_REQUESTS_PER_SLOT = 4;

/** Requests that a plain endpoint is sent for each of its slots: its own queue is short. */
const SERVICE_REQUESTS_PER_SLOT = 1.25;

/** Instances that all choose one endpoint can exceed its limit, but hardly by more than this. */
const MAXIMUM_LOAD_MULTIPLE = 20;

/** Most requests of all instances that an endpoint holds at once. */
export function limitOf({ record }: EndpointState, isEngine: boolean): number {
  return Math.floor(
    record.slots * (isEngine ? ENGINE_REQUESTS_PER_SLOT : SERVICE_REQUESTS_PER_SLOT),
  );
}

/**
 * Number of requests for which the endpoint has room by the load that this instance knows; 0 for
 * prefill engines.
 */
export function roomAt(state: EndpointState, isEngine: boolean): number {
  if (state.record.stage === EngineStage.Prefill) {
    return 0;
  }
  const { running, totalRunning } = state;
  const limit = limitOf(state, isEngine);
  // The load that peers report is ignored if it cannot be true.
  const isPossible = totalRunning >= running && totalRunning <= limit * MAXIMUM_LOAD_MULTIPLE;
  return Math.max(0, limit - (isPossible ? totalRunning : running));
}
