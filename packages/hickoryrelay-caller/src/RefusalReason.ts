/** Why a request was refused or the connection of a caller was closed. */
export const RefusalReason = {
  /** The memory for all callers is used, and this caller has made no progress for the longest time. */
  Memory: 'memory',
  /** All connections for callers are open, and this one has made no progress for the longest time. */
  Connections: 'connections',
  /** As many requests run as may at once. */
  Requests: 'requests',
  /** The head needs more memory than one connection may hold. */
  HeadSize: 'head-size',
  /** The body is larger than the limit. */
  BodySize: 'body-size',
  /** The body has not arrived within its time limit. */
  BodyTime: 'body-time',
  /** No bytes of the body have arrived for too long. */
  BodyStall: 'body-stall',
} as const;

export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];
