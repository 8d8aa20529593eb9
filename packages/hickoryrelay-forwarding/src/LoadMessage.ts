import { pack, unpack } from 'msgpackr';

import type { PartUse } from './PartDirectory.js';

/** What one instance has under way at one endpoint. */
export interface EndpointLoad {
  /** Hash of the endpoint's incarnation. */
  readonly endpoint: number;
  readonly running: number;
  /** Prompt tokens that are read for requests that can still be on time. */
  readonly readingTokens: number;
  /** Prompt tokens that are read for requests that will be late. */
  readonly lateTokens: number;
}

/** What one instance tells the others: its load on endpoints, and which parts were read where. */
export interface LoadMessage {
  readonly instance: string;
  readonly loads: readonly EndpointLoad[];
  /** Uses since the last message. */
  readonly uses: readonly PartUse[];
}

const LOAD_FIELDS = 4;
const USE_FIELDS = 2;

/** Encodes a message as the instance and two flat lists of numbers. */
export function encodeLoad({ instance, loads, uses }: LoadMessage): Buffer {
  return pack([
    instance,
    loads.flatMap(({ endpoint, running, readingTokens, lateTokens }) => [
      endpoint,
      running,
      readingTokens,
      lateTokens,
    ]),
    uses.flatMap(({ engine, part }) => [engine, part]),
  ]);
}

function isNumberList(value: unknown, fields: number): value is number[] {
  return (
    Array.isArray(value) &&
    value.length % fields === 0 &&
    value.every((entry) => typeof entry === 'number' && entry >= 0)
  );
}

function* rowsOf(numbers: readonly number[], fields: number): Generator<number[], void, void> {
  for (let index = 0; index < numbers.length; index += fields) {
    yield numbers.slice(index, index + fields);
  }
}

/** Decodes a message. Undefined if the bytes are not one. */
export function decodeLoad(bytes: Buffer): LoadMessage | undefined {
  let list: unknown;
  try {
    list = unpack(bytes);
  } catch {
    return undefined;
  }
  if (!Array.isArray(list)) {
    return undefined;
  }
  const [instance, loads, uses] = list as unknown[];
  if (
    typeof instance !== 'string' ||
    !isNumberList(loads, LOAD_FIELDS) ||
    !isNumberList(uses, USE_FIELDS)
  ) {
    return undefined;
  }
  return {
    instance,
    loads: [...rowsOf(loads, LOAD_FIELDS)].map(
      ([endpoint = 0, running = 0, readingTokens = 0, lateTokens = 0]) => ({
        endpoint,
        running,
        readingTokens,
        lateTokens,
      }),
    ),
    uses: [...rowsOf(uses, USE_FIELDS)].map(([engine = 0, part = 0]) => ({ engine, part })),
  };
}
