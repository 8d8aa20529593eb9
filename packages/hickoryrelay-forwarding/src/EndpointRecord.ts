/** Whether an endpoint takes new requests. */
export const EndpointPhase = {
  Ready: 'ready',
  /** Missing from the store after an outage in which its registration may have lapsed. */
  Unconfirmed: 'unconfirmed',
  Leaving: 'leaving',
} as const;

export type EndpointPhase = (typeof EndpointPhase)[keyof typeof EndpointPhase];

/** The part of the work that an engine does. */
export const EngineStage = {
  /** Reads prompts and hands their memory to another engine. */
  Prefill: 'prefill',
  /** Generates tokens; reads prompts itself where no memory is handed to it. */
  Decode: 'decode',
} as const;

export type EngineStage = (typeof EngineStage)[keyof typeof EngineStage];

/** An endpoint as it registered itself. */
export interface EndpointRecord {
  readonly identifier: string;
  readonly service: string;
  /** `host:port`. */
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly phase: EndpointPhase;
  /** Start of this incarnation, in milliseconds since the Unix epoch; 0 if unknown. */
  readonly startedMilliseconds: number;
  /** Absent for endpoints of plain services. */
  readonly stage?: EngineStage;
  /** True if the platform may take the endpoint away at short notice. */
  readonly isReclaimable: boolean;
}
