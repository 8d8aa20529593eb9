import { EngineStage } from './EndpointRecord.js';

import type { EndpointState } from './EndpointState.js';

/**
 * Requests that an engine holds for each of its slots: one that runs and, as engines queue up to about
 * three times their slots by priority, three that wait.
 */
const ENGINE_REQUESTS_PER_SLOT = 4;

/** Requests that a plain endpoint is sent for each of its slots: its own queue is short. */
const SERVICE_REQUESTS_PER_SLOT = 1.25;

/**
 * An endpoint that rejected a request counts as full for this long: about the period of the load
 * reports, after which the reported load includes what has filled it.
 */
const FULL_MILLISECONDS = 100;

/**
 * How many more requests endpoints can take, by the load that this instance knows and by their
 * rejections. Designed for loads that are up to a second old.
 */
export class EndpointRoom {
  private readonly fullUntilMilliseconds = new WeakMap<EndpointState, number>();

  /** Most requests of all instances that the endpoint holds at once. */
  static limitOf({ record }: EndpointState, isEngine: boolean): number {
    return Math.floor(
      record.slots * (isEngine ? ENGINE_REQUESTS_PER_SLOT : SERVICE_REQUESTS_PER_SLOT),
    );
  }

  /** Number of requests for which the endpoint has room; 0 for prefill engines. */
  roomAt(state: EndpointState, isEngine: boolean, now: number): number {
    const isFull = (this.fullUntilMilliseconds.get(state) ?? now) > now;
    if (isFull || state.record.stage === EngineStage.Prefill) {
      return 0;
    }
    const { running, totalRunning } = state;
    // The load that peers report is ignored if it cannot be true.
    const known = totalRunning >= running && Number.isFinite(totalRunning) ? totalRunning : running;
    return Math.max(0, EndpointRoom.limitOf(state, isEngine) - known);
  }

  /** Records that an endpoint did not take a request. */
  recordRejection(state: EndpointState, now: number): void {
    this.fullUntilMilliseconds.set(state, now + FULL_MILLISECONDS);
  }
}
