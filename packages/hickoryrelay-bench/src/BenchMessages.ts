/** CPU time and memory of a process. */
export interface ProcessSample {
  /** User and system time, in seconds. */
  readonly cpuSeconds: number;
  readonly residentBytes: number;
  readonly heapBytes: number;
}

/** Message from a measured process to its parent. */
export type ProcessReport =
  | { readonly type: 'ready'; readonly url: string }
  | { readonly type: 'sample'; readonly sample: ProcessSample };

/** Startup options of a relay process. */
export interface RelayOptions {
  readonly kind: RelayKind;
  readonly engineUrl: string;
  /** Base URL of the platform stand-in. Used, like `keyValueUrl`, only for `hickoryrelay`. */
  readonly platformUrl: string;
  readonly keyValueUrl: string;
}

/** The relays that are compared. */
export const RelayKind = {
  /** `node:http` server and `undici` client without parsing. */
  BytePipe: 'byte-pipe',
  /** The byte pipe, which also parses and re-encodes each event. */
  ParsedPipe: 'parsed-pipe',
  /** A hickoryrelay instance with its moleculer-web route. */
  Hickoryrelay: 'hickoryrelay',
} as const;

export type RelayKind = (typeof RelayKind)[keyof typeof RelayKind];

/** Fractional milliseconds since the Unix epoch, comparable between processes. */
export function epochMilliseconds(): number {
  return performance.timeOrigin + performance.now();
}
