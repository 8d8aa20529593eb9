/** CPU time and memory of a process at one moment. */
export interface ProcessSample {
  /** User and system time, in seconds. */
  readonly cpuSeconds: number;
  readonly residentBytes: number;
  readonly heapBytes: number;
}

/** What a measured process tells the program that started it. */
export type ProcessReport =
  | { readonly type: 'ready'; readonly url: string }
  | { readonly type: 'sample'; readonly sample: ProcessSample };

/** What a relay process is started with. */
export interface RelayOrder {
  readonly kind: RelayKind;
  readonly engineUrl: string;
  /** Base URL of the platform stand-in and of the key-value stand-in, for `hickoryrelay`. */
  readonly platformUrl: string;
  readonly keyValueUrl: string;
}

/** The relays that are compared. */
export const RelayKind = {
  /** `node:http` in, `undici` out, no parsing. */
  BytePipe: 'byte-pipe',
  /** The byte pipe with each event parsed and written again. */
  ParsedPipe: 'parsed-pipe',
  /** hickoryrelay through its moleculer-web route. */
  Hickoryrelay: 'hickoryrelay',
} as const;

export type RelayKind = (typeof RelayKind)[keyof typeof RelayKind];

/** Milliseconds since the Unix epoch with a fraction, comparable between processes. */
export function epochMilliseconds(): number {
  return performance.timeOrigin + performance.now();
}
