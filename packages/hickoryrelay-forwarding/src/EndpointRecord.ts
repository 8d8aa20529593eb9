import { hashString } from 'hickoryrelay/RendezvousUtils';

import { isName, isSocketAddress } from './RecordFieldUtils.js';

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
  /** Version of the software that the endpoint runs; absent if it states none. */
  readonly softwareVersion?: string;
}

/**
 * Distinguishes the incarnations of an endpoint, which may reuse its identifier after a restart.
 */
export function incarnationKey(record: EndpointRecord): string {
  return `${record.identifier}/${record.startedMilliseconds}/${record.address}`;
}

/** Hash of the incarnation, which identifies the endpoint in messages between instances. */
export function incarnationHash({ identifier, startedMilliseconds }: EndpointRecord): number {
  return hashString(`${identifier}/${startedMilliseconds}`);
}

/** Identifiers are sent in a header, which cannot carry other characters. */
const IDENTIFIER_PATTERN = /^[\u0021-\u007e]{1,200}$/u;

/** Bounds the messages in which instances exchange records. */
export const MAXIMUM_VERSION_CHARACTERS = 200;

/** Far more than an endpoint runs concurrently. */
const MAXIMUM_SLOTS = 100_000;

const PHASES: ReadonlySet<unknown> = new Set(Object.values(EndpointPhase));
const STAGES: ReadonlySet<unknown> = new Set([undefined, ...Object.values(EngineStage)]);

function isSoftwareVersion(value: unknown): boolean {
  return (
    value === undefined || (typeof value === 'string' && value.length <= MAXIMUM_VERSION_CHARACTERS)
  );
}

/** What the fields of a record must hold for requests to be sent to the endpoint. */
const FIELD_CHECKS: Readonly<Record<keyof EndpointRecord, (value: unknown) => boolean>> = {
  identifier: (value) => typeof value === 'string' && IDENTIFIER_PATTERN.test(value),
  service: isName,
  address: (value) => typeof value === 'string' && isSocketAddress(value),
  zone: isName,
  slots: (value) => Number.isInteger(value) && Number(value) > 0 && Number(value) <= MAXIMUM_SLOTS,
  phase: (value) => PHASES.has(value),
  startedMilliseconds: (value) => Number.isSafeInteger(value) && Number(value) >= 0,
  stage: (value) => STAGES.has(value),
  isReclaimable: (value) => typeof value === 'boolean',
  softwareVersion: isSoftwareVersion,
};

const FIELDS = Object.keys(FIELD_CHECKS) as (keyof EndpointRecord)[];

/** Returns the fields of a record because of which no request can be sent to its endpoint. */
export function invalidFieldsOf(value: unknown): readonly (keyof EndpointRecord)[] {
  const record = (value ?? {}) as Partial<Record<keyof EndpointRecord, unknown>>;
  return FIELDS.filter((field) => !FIELD_CHECKS[field](record[field]));
}

/**
 * True if requests can be sent to the endpoint of a record. Records come from the store, whose
 * entries may have been written by others, and from instances that accept more than this one.
 */
export function isEndpointRecord(value: unknown): value is EndpointRecord {
  return invalidFieldsOf(value).length === 0;
}
