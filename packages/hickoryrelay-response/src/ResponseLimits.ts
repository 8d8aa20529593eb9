const BYTES_PER_MEGABYTE = 1_048_576;

/**
 * Share of the memory of a machine that is held for responses of endpoints. Garbage that has not been collected
 * yet takes as much again, beside the program and what is held for callers.
 */
const MEMORY_SHARE = 0.1;

/** Share that only responses with little memory may use. */
const RESERVE_SHARE = 0.25;

/** Bytes that one read of a socket brings. */
export const SOCKET_READ_BYTES = 16_384;

/** A response that holds less may use the reserve: the buffer of its socket and one further read. */
export const ORDINARY_RESPONSE_BYTES = 2 * SOCKET_READ_BYTES;

/** A response that holds less is read whatever the others hold: the head, or some events of a stream. */
export const SMALL_RESPONSE_BYTES = 4096;

/** Limits on what a process holds for responses of endpoints. */
export interface ResponseLimits {
  /** Memory for all responses. */
  readonly memoryBytes: number;
  /** Part of it that only responses below `ORDINARY_RESPONSE_BYTES` may use. */
  readonly reserveBytes: number;
}

/** The limits that follow from the memory of a machine. */
export function responseLimitsOf(memoryMegabytes: number): ResponseLimits {
  const memoryBytes = Math.floor(memoryMegabytes * BYTES_PER_MEGABYTE * MEMORY_SHARE);
  return { memoryBytes, reserveBytes: Math.floor(memoryBytes * RESERVE_SHARE) };
}
