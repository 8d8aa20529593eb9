import { pack, unpack } from 'msgpackr';

/** What one instance has under way at one endpoint. */
export interface EndpointLoad {
  /** Hash of the endpoint's identifier. */
  readonly endpoint: number;
  readonly running: number;
  /** Prompt tokens that are read for requests that can still be on time. */
  readonly readingTokens: number;
  /** Prompt tokens that are read for requests that will be late. */
  readonly lateTokens: number;
}

/** The load that one instance puts on endpoints. */
export interface LoadMessage {
  readonly instance: string;
  readonly loads: readonly EndpointLoad[];
}

const FIELDS = 4;

/** Encodes a message as one flat list: the instance, then four numbers for each endpoint. */
export function encodeLoad({ instance, loads }: LoadMessage): Buffer {
  return pack([
    instance,
    ...loads.flatMap(({ endpoint, running, readingTokens, lateTokens }) => [
      endpoint,
      running,
      readingTokens,
      lateTokens,
    ]),
  ]);
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
  const [instance, ...numbers] = list as unknown[];
  const isReadable =
    typeof instance === 'string' &&
    numbers.length % FIELDS === 0 &&
    numbers.every((value) => typeof value === 'number' && value >= 0);
  if (!isReadable) {
    return undefined;
  }
  const loads: EndpointLoad[] = [];
  for (let index = 0; index < numbers.length; index += FIELDS) {
    const [endpoint = 0, running = 0, readingTokens = 0, lateTokens = 0] = numbers.slice(
      index,
      index + FIELDS,
    ) as number[];
    loads.push({ endpoint, running, readingTokens, lateTokens });
  }
  return { instance, loads };
}
