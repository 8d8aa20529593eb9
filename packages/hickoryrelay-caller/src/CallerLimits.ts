const BYTES_PER_MEGABYTE = 1_048_576;

/**
 * Share of the memory of a machine that is held for callers. The smallest machines have 210 MB, of which
 * the program needs 120 MB without callers; garbage that has not been collected yet takes as much
 * again as what is held.
 */
const MEMORY_SHARE = 0.15;

/** Share of the memory for callers that one connection may hold: 7.5 MB of the smallest machine. */
const CONNECTION_SHARE = 0.25;

/** Share that only connections with little memory may use. */
const RESERVE_SHARE = 0.25;

/** Shares of the file descriptors for connections of callers, and for requests to endpoints. */
const CONNECTION_DESCRIPTOR_SHARE = 0.4;
const REQUEST_DESCRIPTOR_SHARE = 0.4;

/** Share of the heap, which holds the objects of requests beside the rest of the program. */
const HEAP_SHARE = 0.5;

const DEFAULT_PIPELINED_REQUESTS = 16;
const DEFAULT_BODY_TIMEOUT_MILLISECONDS = 60_000;
const DEFAULT_BODY_STALL_MILLISECONDS = 15_000;

/** Limits on what a process holds for callers. */
export interface CallerLimits {
  /** Memory for all callers. */
  readonly memoryBytes: number;
  /** Part of it that only connections below `ORDINARY_CONNECTION_BYTES` may use. */
  readonly reserveBytes: number;
  /** Memory that one connection may hold. */
  readonly connectionBytes: number;
  /** Open connections. */
  readonly connections: number;
  /** Requests that run at once, each of which may need a connection to an endpoint. */
  readonly requests: number;
  /** Requests of one connection that are being read or answered. */
  readonly pipelinedRequests: number;
  /** Time from the first byte of a body until its end. */
  readonly bodyTimeoutMilliseconds: number;
  /** Time without a byte of a body that is due. */
  readonly bodyStallMilliseconds: number;
}

/** What the machine of a process has. */
export interface MachineResources {
  readonly memoryMegabytes: number;
  readonly fileDescriptors: number;
  /** Limit of the heap of the process. */
  readonly heapBytes: number;
}

/** Limits that settings state. The others follow from the machine. */
export type StatedCallerLimits = { readonly [Name in keyof CallerLimits]?: number | undefined };

/** What each connection holds besides bytes: its socket, parser and listeners. */
export const CONNECTION_COST_BYTES = 8192;

/**
 * What each request holds besides its bytes: the objects of the request, its response and their signals, and as
 * much garbage of them that has not been collected yet.
 */
export const REQUEST_COST_BYTES = 16_384;

/**
 * What each line of a head holds besides its characters, in bytes: its two strings, its entries in the lists of
 * headers that are received and forwarded, and the one in the object of headers.
 */
export const HEADER_LINE_COST_BYTES = 160;

/**
 * A connection that holds less may use the reserve. Bodies of ordinary callers have up to 100,000 bytes,
 * and their responses are read as they arrive.
 */
export const ORDINARY_CONNECTION_BYTES = 262_144;

/** The limits that settings state, with defaults that follow from the machine. */
export function callerLimitsOf(
  { memoryMegabytes, fileDescriptors, heapBytes }: MachineResources,
  stated: StatedCallerLimits = {},
): CallerLimits {
  const memoryBytes =
    stated.memoryBytes ??
    Math.floor(
      Math.min(heapBytes * HEAP_SHARE, memoryMegabytes * BYTES_PER_MEGABYTE * MEMORY_SHARE),
    );
  return {
    memoryBytes,
    reserveBytes: stated.reserveBytes ?? Math.floor(memoryBytes * RESERVE_SHARE),
    connectionBytes: stated.connectionBytes ?? Math.floor(memoryBytes * CONNECTION_SHARE),
    connections:
      stated.connections ?? Math.max(1, Math.floor(fileDescriptors * CONNECTION_DESCRIPTOR_SHARE)),
    requests:
      stated.requests ?? Math.max(1, Math.floor(fileDescriptors * REQUEST_DESCRIPTOR_SHARE)),
    pipelinedRequests: stated.pipelinedRequests ?? DEFAULT_PIPELINED_REQUESTS,
    bodyTimeoutMilliseconds: stated.bodyTimeoutMilliseconds ?? DEFAULT_BODY_TIMEOUT_MILLISECONDS,
    bodyStallMilliseconds: stated.bodyStallMilliseconds ?? DEFAULT_BODY_STALL_MILLISECONDS,
  };
}

/** A problem of stated limits, with the name of the limit. */
export interface CallerLimitProblem {
  readonly limit: keyof CallerLimits;
  readonly reason: string;
}

/** Finds limits that contradict each other. */
export function findLimitProblems(limits: CallerLimits): CallerLimitProblem[] {
  const { memoryBytes, reserveBytes, connectionBytes } = limits;
  const problems: CallerLimitProblem[] = [];
  if (reserveBytes >= memoryBytes) {
    problems.push({ limit: 'reserveBytes', reason: 'must be less than the memory for callers' });
  }
  if (connectionBytes > memoryBytes - reserveBytes) {
    problems.push({
      limit: 'connectionBytes',
      reason: 'must not exceed the memory for callers without the reserve',
    });
  }
  if (connectionBytes < ORDINARY_CONNECTION_BYTES) {
    problems.push({
      limit: 'connectionBytes',
      reason: `must be at least ${ORDINARY_CONNECTION_BYTES} bytes`,
    });
  }
  return problems;
}

/** The largest body that one connection may hold. */
export function largestBodyBytes({ connectionBytes }: CallerLimits): number {
  return connectionBytes - ORDINARY_CONNECTION_BYTES / 2;
}
