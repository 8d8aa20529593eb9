import type { ReportedEvidence } from './CrashEvidence.js';
import type { PeerAddress } from './PeerRecord.js';

/** Kind of the message, the first element of its encoding. Differs from those in `PeerMessageKind`. */
export const CRASH_EVIDENCE_KIND = 10;

/** Marks the absence of a time in the encoding. */
const NO_TIME = -1;

const FIXED_FIELD_COUNT = 3;
const CRASH_FIELD_COUNT = 2;

/** Evidence about prompt segments that may crash engines. */
export interface CrashEvidenceMessage {
  readonly kind: typeof CRASH_EVIDENCE_KIND;
  /**
   * Where to send all evidence, for an instance that has just started and that its peers may not
   * have in their view yet. Undefined if none is requested.
   */
  readonly replyTo: PeerAddress | undefined;
  readonly evidence: readonly ReportedEvidence[];
}

/** Returns the elements of the encoding. Each segment is a flat list of numbers, as in loads. */
export function crashEvidenceElements(message: CrashEvidenceMessage): unknown[] {
  const { kind, replyTo, evidence } = message;
  return [
    kind,
    replyTo === undefined ? [] : [replyTo.host, replyTo.port],
    evidence.map(({ segment, begunAgeMilliseconds, seenAgeMilliseconds, crashes }) => [
      segment,
      begunAgeMilliseconds === undefined ? NO_TIME : Math.round(begunAgeMilliseconds),
      Math.round(seenAgeMilliseconds),
      ...crashes.flatMap(({ engine, ageMilliseconds }) => [engine, Math.round(ageMilliseconds)]),
    ]),
  ];
}

function decodeEvidence(value: unknown): ReportedEvidence | undefined {
  const isValid =
    Array.isArray(value) &&
    value.length >= FIXED_FIELD_COUNT &&
    (value.length - FIXED_FIELD_COUNT) % CRASH_FIELD_COUNT === 0 &&
    value.every((entry) => Number.isInteger(entry) && entry >= NO_TIME);
  if (!isValid) {
    return undefined;
  }
  const [segment = 0, begun = NO_TIME, seen = 0, ...rest] = value as number[];
  const crashes = [];
  for (let index = 0; index < rest.length; index += CRASH_FIELD_COUNT) {
    crashes.push({ engine: rest[index] ?? 0, ageMilliseconds: rest[index + 1] ?? 0 });
  }
  return {
    segment,
    begunAgeMilliseconds: begun === NO_TIME ? undefined : begun,
    seenAgeMilliseconds: seen,
    crashes,
  };
}

/** Decodes the elements after the kind. Returns undefined if they are malformed. */
export function decodeCrashEvidence(fields: readonly unknown[]): CrashEvidenceMessage | undefined {
  const [replyTo, list] = fields;
  if (!Array.isArray(replyTo) || !Array.isArray(list)) {
    return undefined;
  }
  const [host, port] = replyTo as unknown[];
  const isAddress = typeof host === 'string' && typeof port === 'number';
  const evidence = list.map(decodeEvidence).filter((entry) => entry !== undefined);
  return evidence.length === list.length
    ? { kind: CRASH_EVIDENCE_KIND, replyTo: isAddress ? { host, port } : undefined, evidence }
    : undefined;
}
