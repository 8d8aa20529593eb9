/** Whether an endpoint accepts new requests. */
export const EndpointPhase = {
  Ready: 'ready',
  /** Missing from the store after an outage in which its registration may have expired. */
  Unconfirmed: 'unconfirmed',
  Leaving: 'leaving',
} as const;

export type EndpointPhase = (typeof EndpointPhase)[keyof typeof EndpointPhase];

/** The stage of inference that an engine serves. */
export const EngineStage = {
  /** Prefills prompts and transfers their KV cache to decode engines. */
  Prefill: 'prefill',
  /** Generates tokens, and prefills prompts whose KV cache is not transferred to it. */
  Decode: 'decode',
} as const;

export type EngineStage = (typeof EngineStage)[keyof typeof EngineStage];

/** The registration of an endpoint. */
export interface EndpointRecord {
  readonly identifier: string;
  readonly service: string;
  /** `host:port`. */
  readonly address: string;
  readonly zone: string;
  /** Requests that the endpoint runs concurrently. */
  readonly slots: number;
  readonly phase: EndpointPhase;
  /** Start of this incarnation, in milliseconds since the Unix epoch; 0 if unknown. */
  readonly startedMilliseconds: number;
  /** Absent for endpoints of services without engines. */
  readonly stage?: EngineStage;
  /** True if the platform may reclaim the endpoint at short notice, as with spot capacity. */
  readonly isReclaimable: boolean;
}
