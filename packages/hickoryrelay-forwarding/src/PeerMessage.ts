import { pack, unpack } from 'msgpackr';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';
import {
  STREAM_ORIGIN_KIND,
  decodeStreamOrigin,
  streamOriginElements,
} from 'hickoryrelay-stream/StreamOriginMessage';
import { decodeRateReports, encodeRateReports } from 'hickoryrelay-workload/RateReport';

import { decodeAccountUse, encodeAccountUse } from './AccountUseElements.js';
import {
  CRASH_EVIDENCE_KIND,
  crashEvidenceElements,
  decodeCrashEvidence,
} from './CrashEvidenceMessage.js';
import { isEndpointRecord } from './EndpointRecord.js';
import { isPeerAddress, isPeerRecord } from './PeerRecord.js';
import { USAGE_SEAL_KIND, decodeUsageSeal, usageSealElements } from './UsageSealMessage.js';
import { isAccountCounts } from './UsageTally.js';

import type { CrashEvidenceMessage } from './CrashEvidenceMessage.js';
import type { EndpointRecord } from './EndpointRecord.js';
import type { PeerAddress, PeerRecord } from './PeerRecord.js';
import type { SegmentUse } from './PromptCacheDirectory.js';
import type { UsageCounts } from './UsageCountsWriter.js';
import type { UsageSealMessage } from './UsageSealMessage.js';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { RateLimitReport } from 'hickoryrelay-endpoint/RateLimitStatement';
import type { AccountUseReport } from 'hickoryrelay-quota/AccountUse';
import type { StreamOriginMessage } from 'hickoryrelay-stream/StreamOriginMessage';
import type { RateReport } from 'hickoryrelay-workload/RateReport';

/** Kinds of messages between instances. The value is the first element of the encoded message. */
export const PeerMessageKind = {
  /** Load of one instance, sent to all others. */
  Load: 1,
  /** Load of one instance, sent to the relay of its zone. */
  LoadReport: 2,
  /** Load of all instances, sent by a relay to the instances of its zone. */
  LoadDigest: 3,
  /** Load of all instances of a zone, sent by its relay to the relays of other zones. */
  ZoneLoad: 4,
  /** Requests the changes in the store from the relay of the zone. */
  ViewRequest: 5,
  ViewResponse: 6,
  /** Usage counts for the relay of the zone to write to the store. */
  UsageCountsReport: 7,
  /**
   * Confirms that the counts of a report are stored, or that those of a handoff were taken over.
   */
  UsageCountsConfirmation: 8,
  /**
   * Usage counts of a stopping instance, for another instance to write if they are not stored or the
   * store is restored from an older copy.
   */
  UsageCountsHandoff: 9,
  /** Evidence about prompt segments that may crash engines. */
  CrashEvidence: CRASH_EVIDENCE_KIND,
  /** Sealed usage counts of a window, or a request for them. */
  UsageSeal: USAGE_SEAL_KIND,
  /** Versions that began streams, or questions about them. */
  StreamOrigin: STREAM_ORIGIN_KIND,
} as const;

export type PeerMessageKind = (typeof PeerMessageKind)[keyof typeof PeerMessageKind];

type LoadKind =
  | typeof PeerMessageKind.Load
  | typeof PeerMessageKind.LoadReport
  | typeof PeerMessageKind.LoadDigest
  | typeof PeerMessageKind.ZoneLoad;

/** Load that requests in flight put on one endpoint. */
export interface EndpointLoad {
  /** Hash of the endpoint's incarnation. */
  readonly endpoint: number;
  readonly running: number;
  /** Prompt tokens being prefilled for requests that can still meet their latency target. */
  readonly prefillTokens: number;
  /** Prompt tokens being prefilled for requests that will miss their latency target. */
  readonly latePrefillTokens: number;
  /** Tokens in the KV cache of an engine, in steps of `OCCUPIED_TOKENS_STEP`; 0 if absent. */
  readonly occupiedTokens?: number;
}

/** The use of a segment, with the instance that reported it first. */
export interface ReportedUse extends SegmentUse {
  /** Hash of the name of the reporting instance. */
  readonly origin: number;
}

/**
 * Load on endpoints, the shared prompt segments that engines have prefilled, and the rate limits that
 * endpoints have stated.
 */
export interface LoadMessage {
  readonly kind: LoadKind;
  /** Name of the sending instance. */
  readonly sender: string;
  readonly loads: readonly EndpointLoad[];
  /** Uses since the previous message. */
  readonly uses: readonly ReportedUse[];
  readonly rateLimits: readonly RateLimitReport[];
  /** Observed and learned rates of endpoints since the previous message. Absent if there are none. */
  readonly rates?: readonly RateReport[];
  /** Use of the accounts that have a quota; absent while none has one. */
  readonly accountUse?: AccountUseReport;
}

/** Requests the changes since a store revision. */
export interface ViewRequest {
  readonly kind: typeof PeerMessageKind.ViewRequest;
  readonly requester: PeerAddress;
  /** Number of the request, repeated in the response. */
  readonly number: number;
  readonly sinceRevision: StoreRevision;
}

/** Changed records, and the keys of removed ones. */
export interface RecordChanges<Entry> {
  readonly changed: readonly Entry[];
  readonly removed: readonly string[];
}

/** Changes in the store since the revision in the request. */
export interface ViewChanges {
  /** Revision up to which the changes are complete. */
  readonly revision: StoreRevision;
  /** Time since the relay requested its snapshot from the store, in milliseconds. */
  readonly ageMilliseconds: number;
  /** Undefined until the operator has written a configuration. */
  readonly configurationVersion: number | undefined;
  /** True if some instance holds the authority. */
  readonly isAuthorityHeld: boolean;
  readonly endpoints: RecordChanges<EndpointRecord>;
  readonly peers: RecordChanges<PeerRecord>;
  /** Fingerprint of all endpoints and instances of the relay's snapshot. */
  readonly fingerprint: string;
}

/** The response to a view request. */
export interface ViewResponse {
  readonly kind: typeof PeerMessageKind.ViewResponse;
  readonly sender: string;
  readonly number: number;
  /** Undefined if the relay cannot provide them; the requester then reads the store itself. */
  readonly changes: ViewChanges | undefined;
}

/** Usage counts of an instance, sent to its relay or handed off to another instance. */
export interface UsageCountsReport {
  readonly kind:
    typeof PeerMessageKind.UsageCountsReport | typeof PeerMessageKind.UsageCountsHandoff;
  readonly reporter: PeerAddress;
  /** Number of the report, repeated in the confirmation. */
  readonly number: number;
  readonly usage: UsageCounts;
  /** Era of the store in which the counts were written; undefined if they are yet to be written. */
  readonly storedEra: number | undefined;
}

/** Confirms a report or a handoff. */
export interface UsageCountsConfirmation {
  readonly kind: typeof PeerMessageKind.UsageCountsConfirmation;
  readonly number: number;
}

export type PeerMessage =
  | LoadMessage
  | ViewRequest
  | ViewResponse
  | UsageCountsReport
  | UsageCountsConfirmation
  | CrashEvidenceMessage
  | UsageSealMessage
  | StreamOriginMessage;

const MESSAGE_NUMBER_LIMIT = 2 ** 32;

/**
 * Returns a random number for a request or report. With sequential numbers, a delayed response to a
 * request from before a restart of the instance could match a request sent after it.
 */
export function randomMessageNumber(random: RandomSource): number {
  return random.integerBelow(MESSAGE_NUMBER_LIMIT);
}

const LOAD_FIELD_COUNT = 4;

/** Steps in which tokens in KV caches are sent, so that most take one byte. */
export const OCCUPIED_TOKENS_STEP = 1024;

/** Far more than the KV cache of an engine holds. */
const MAXIMUM_OCCUPIED_STEPS = 2 ** 16;
const USE_FIELD_COUNT = 5;
const RATE_LIMIT_FIELD_COUNT = 4;

/** More rates than a message of any kind has. */
const MAXIMUM_RATES = 256;

function encodeViewChanges({ revision, ...changes }: ViewChanges): object {
  return { ...changes, revision: revision.number, era: revision.era };
}

/** Encodes one number for each load, in the same order, unless all are 0. */
function encodeOccupiedTokens(loads: readonly EndpointLoad[]): number[] {
  const steps = loads.map(({ occupiedTokens = 0 }) =>
    Math.round(occupiedTokens / OCCUPIED_TOKENS_STEP),
  );
  return steps.some((step) => step > 0) ? steps : [];
}

/** Decodes the tokens in KV caches, if there is a plausible number for each load. */
function decodeOccupiedTokens(value: unknown, loads: number): readonly number[] {
  const isPlausible =
    isNumberList(value, 1) &&
    value.length === loads &&
    value.every((step) => Number.isInteger(step) && step <= MAXIMUM_OCCUPIED_STEPS);
  return isPlausible ? value.map((step) => step * OCCUPIED_TOKENS_STEP) : [];
}

function encodeLoad(message: LoadMessage): unknown[] {
  const { kind, sender, loads, uses, rateLimits, rates = [], accountUse } = message;
  return [
    kind,
    sender,
    loads.flatMap(({ endpoint, running, prefillTokens, latePrefillTokens }) => [
      endpoint,
      running,
      prefillTokens,
      latePrefillTokens,
    ]),
    uses.flatMap(({ engine, segment, sharedTokens, ownTokens, origin }) => [
      engine,
      segment,
      sharedTokens,
      ownTokens,
      origin,
    ]),
    rateLimits.flatMap(({ endpoint, requestsPerSecond, ageMilliseconds }) => [
      endpoint,
      requestsPerSecond === undefined ? 0 : 1,
      requestsPerSecond ?? 0,
      ageMilliseconds,
    ]),
    encodeRateReports(rates),
    encodeOccupiedTokens(loads),
    ...(accountUse === undefined ? [] : [encodeAccountUse(accountUse)]),
  ];
}

/** Encodes a message. Load messages are frequent, so they are packed as flat lists of numbers. */
export function encodePeerMessage(message: PeerMessage): Buffer {
  switch (message.kind) {
    case PeerMessageKind.ViewRequest: {
      const { kind, requester, number, sinceRevision } = message;
      const { number: since, era } = sinceRevision;
      return pack([kind, requester.host, requester.port, number, since, era]);
    }
    case PeerMessageKind.ViewResponse: {
      const { kind, sender, number, changes } = message;
      return pack([kind, sender, number, changes && encodeViewChanges(changes)]);
    }
    case PeerMessageKind.UsageCountsReport:
    case PeerMessageKind.UsageCountsHandoff: {
      const { kind, reporter, number, usage, storedEra } = message;
      const { window, incarnation, counts, isFinal } = usage;
      const { host, port } = reporter;
      return pack([kind, host, port, number, window, incarnation, counts, isFinal, storedEra]);
    }
    case PeerMessageKind.UsageCountsConfirmation:
      return pack([message.kind, message.number]);
    case PeerMessageKind.CrashEvidence:
      return pack(crashEvidenceElements(message));
    case PeerMessageKind.UsageSeal:
      return pack(usageSealElements(message));
    case PeerMessageKind.StreamOrigin:
      return pack(streamOriginElements(message));
    default:
      return pack(encodeLoad(message));
  }
}

function isNumberList(value: unknown, fields: number): value is number[] {
  return (
    Array.isArray(value) &&
    value.length % fields === 0 &&
    value.every((entry) => typeof entry === 'number' && entry >= 0 && Number.isFinite(entry))
  );
}

function* rowsOf(numbers: readonly number[], fields: number): Generator<number[], void, void> {
  for (let index = 0; index < numbers.length; index += fields) {
    yield numbers.slice(index, index + fields);
  }
}

function decodeLoad(kind: LoadKind, fields: readonly unknown[]): LoadMessage | undefined {
  // Instances of an earlier version state no limits, rates, KV caches and use of accounts.
  const [sender, loads, uses, rateLimits = [], encodedRates = [], occupiedSteps = [], accountUses] =
    fields;
  if (
    typeof sender !== 'string' ||
    !isNumberList(loads, LOAD_FIELD_COUNT) ||
    !isNumberList(uses, USE_FIELD_COUNT) ||
    !isNumberList(rateLimits, RATE_LIMIT_FIELD_COUNT)
  ) {
    return undefined;
  }
  const rates = decodeRateReports(encodedRates, MAXIMUM_RATES);
  const occupied = decodeOccupiedTokens(occupiedSteps, loads.length / LOAD_FIELD_COUNT);
  const accountUse = decodeAccountUse(accountUses);
  return {
    kind,
    sender,
    ...(rates.length === 0 ? {} : { rates }),
    ...(accountUse === undefined ? {} : { accountUse }),
    loads: [...rowsOf(loads, LOAD_FIELD_COUNT)].map(
      ([endpoint = 0, running = 0, prefillTokens = 0, latePrefillTokens = 0], index) => ({
        endpoint,
        running,
        prefillTokens,
        latePrefillTokens,
        ...(occupied.length === 0 ? {} : { occupiedTokens: occupied[index] ?? 0 }),
      }),
    ),
    uses: [...rowsOf(uses, USE_FIELD_COUNT)].map(
      ([engine = 0, segment = 0, sharedTokens = 0, ownTokens = 0, origin = 0]) => ({
        engine,
        segment,
        sharedTokens,
        ownTokens,
        origin,
      }),
    ),
    rateLimits: [...rowsOf(rateLimits, RATE_LIMIT_FIELD_COUNT)].map(
      ([endpoint = 0, isLimited = 0, requestsPerSecond = 0, ageMilliseconds = 0]) => ({
        endpoint,
        requestsPerSecond: isLimited === 0 ? undefined : requestsPerSecond,
        ageMilliseconds,
      }),
    ),
  };
}

/** Instances that do not know of eras state none, which is the era of a store that has none. */
function decodeRevision(number: unknown, era: unknown = 0): StoreRevision | undefined {
  return Number.isSafeInteger(number) && Number.isSafeInteger(era)
    ? new StoreRevision(Number(era), Number(number))
    : undefined;
}

function decodeViewRequest(fields: readonly unknown[]): ViewRequest | undefined {
  const [host, port, number, since, era] = fields;
  const requester = { host, port };
  const sinceRevision = decodeRevision(since, era);
  if (!isPeerAddress(requester) || typeof number !== 'number' || sinceRevision === undefined) {
    return undefined;
  }
  return { kind: PeerMessageKind.ViewRequest, requester, number, sinceRevision };
}

/**
 * Decodes the changes of one kind of record. A relay of an older version may pass on records that
 * this instance cannot use; those count as removed.
 */
function decodeRecordChanges<Entry>(
  value: unknown,
  isUsable: (entry: unknown) => entry is Entry,
  keyField: keyof Entry & string,
): RecordChanges<Entry> | undefined {
  const { changed, removed } = (value ?? {}) as Partial<RecordChanges<unknown>>;
  if (!Array.isArray(changed) || !Array.isArray(removed)) {
    return undefined;
  }
  const unusableKeys = changed
    .filter((entry) => !isUsable(entry))
    .map((entry) => ((entry ?? {}) as Record<string, unknown>)[keyField]);
  return {
    changed: changed.filter(isUsable),
    removed: [...(removed as unknown[]), ...unusableKeys].filter((key) => typeof key === 'string'),
  };
}

function decodeViewChanges(value: unknown): ViewChanges | undefined {
  const changes = (value ?? {}) as Partial<Record<keyof ViewChanges | 'era', unknown>>;
  const { ageMilliseconds, configurationVersion, isAuthorityHeld, fingerprint } = changes;
  const revision = decodeRevision(changes.revision, changes.era);
  const endpoints = decodeRecordChanges(changes.endpoints, isEndpointRecord, 'identifier');
  const peers = decodeRecordChanges(changes.peers, isPeerRecord, 'instance');
  return revision !== undefined &&
    typeof ageMilliseconds === 'number' &&
    ageMilliseconds >= 0 &&
    (configurationVersion === undefined || typeof configurationVersion === 'number') &&
    typeof isAuthorityHeld === 'boolean' &&
    endpoints !== undefined &&
    peers !== undefined &&
    typeof fingerprint === 'string'
    ? {
        revision,
        ageMilliseconds,
        configurationVersion,
        isAuthorityHeld,
        endpoints,
        peers,
        fingerprint,
      }
    : undefined;
}

function decodeViewResponse(fields: readonly unknown[]): ViewResponse | undefined {
  const [sender, number, changes] = fields;
  if (typeof sender !== 'string' || typeof number !== 'number') {
    return undefined;
  }
  return {
    kind: PeerMessageKind.ViewResponse,
    sender,
    number,
    changes: decodeViewChanges(changes),
  };
}

function decodeUsageCounts(
  kind: UsageCountsReport['kind'],
  fields: readonly unknown[],
): UsageCountsReport | undefined {
  const [host, port, number, window, incarnation, counts, isFinal, storedEra] = fields;
  const reporter = { host, port };
  if (
    !isPeerAddress(reporter) ||
    typeof number !== 'number' ||
    typeof window !== 'number' ||
    typeof incarnation !== 'string' ||
    !isAccountCounts(counts) ||
    typeof isFinal !== 'boolean' ||
    (storedEra !== undefined && typeof storedEra !== 'number')
  ) {
    return undefined;
  }
  return { kind, reporter, number, usage: { window, incarnation, counts, isFinal }, storedEra };
}

function decodeUsageCountsConfirmation([number]: readonly unknown[]):
  UsageCountsConfirmation | undefined {
  return typeof number === 'number'
    ? { kind: PeerMessageKind.UsageCountsConfirmation, number }
    : undefined;
}

/** Decodes a message. Returns undefined for malformed bytes. */
export function decodePeerMessage(bytes: Buffer): PeerMessage | undefined {
  let list: unknown;
  try {
    list = unpack(bytes);
  } catch {
    return undefined;
  }
  if (!Array.isArray(list)) {
    return undefined;
  }
  const [kind, ...fields] = list as unknown[];
  switch (kind) {
    case PeerMessageKind.Load:
    case PeerMessageKind.LoadReport:
    case PeerMessageKind.LoadDigest:
    case PeerMessageKind.ZoneLoad:
      return decodeLoad(kind, fields);
    case PeerMessageKind.ViewRequest:
      return decodeViewRequest(fields);
    case PeerMessageKind.ViewResponse:
      return decodeViewResponse(fields);
    case PeerMessageKind.UsageCountsReport:
    case PeerMessageKind.UsageCountsHandoff:
      return decodeUsageCounts(kind, fields);
    case PeerMessageKind.UsageCountsConfirmation:
      return decodeUsageCountsConfirmation(fields);
    case PeerMessageKind.CrashEvidence:
      return decodeCrashEvidence(fields);
    case PeerMessageKind.UsageSeal:
      return decodeUsageSeal(fields);
    case PeerMessageKind.StreamOrigin:
      return decodeStreamOrigin(fields);
    default:
      return undefined;
  }
}
