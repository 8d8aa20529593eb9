import { ConnectionCloseReason } from 'hickoryrelay/ConnectionClosing';

import { PauseReason } from './CallerMemory.js';
import { RefusalReason } from './RefusalReason.js';

import type { CallerGuard } from './CallerGuard.js';

/** Name of a metric and the function that reads its value. */
export type CallerMetric = readonly [string, () => number];

/** What is held for callers now, and the limits of it. */
export function callerGauges(guard: CallerGuard): CallerMetric[] {
  const { memoryBytes, connections, requests } = guard.limits;
  return [
    ['caller_held_bytes', () => guard.heldBytes],
    ['caller_held_bytes_limit', () => memoryBytes],
    ['caller_connections', () => guard.openConnections],
    ['caller_connections_limit', () => connections],
    ['caller_requests', () => guard.openRequests],
    ['caller_running_requests', () => guard.runningRequests],
    ['caller_running_requests_limit', () => requests],
    ['caller_paused_connections', () => guard.pausedConnections],
  ];
}

/** How often callers were refused, and connections were not read and closed, by reason. */
export function callerCounters(guard: CallerGuard): CallerMetric[] {
  const nameOf = (event: string, reason: string) =>
    `caller_${event}_${reason.replaceAll('-', '_')}_total`;
  return [
    ...Object.values(RefusalReason).map((reason): CallerMetric => [
      nameOf('refusals', reason),
      () => guard.refusalsFor(reason),
    ]),
    ...Object.values(PauseReason).map((reason): CallerMetric => [
      nameOf('pauses', reason),
      () => guard.pausesFor(reason),
    ]),
    ...Object.values(ConnectionCloseReason).flatMap((reason): CallerMetric[] => [
      [nameOf('closes', reason), () => guard.closesFor(reason)],
      [nameOf('unanswered', reason), () => guard.unansweredFor(reason)],
    ]),
  ];
}
