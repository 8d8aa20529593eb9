/** What a rate was observed of. Rates of one kind are compared between the endpoints of a service. */
export const RateKind = {
  /** Prompt tokens per millisecond of a remote prefill that did not queue. */
  Prefill: 0,
  /** Events per millisecond of a stream. */
  Decode: 1,
  /** Responses per millisecond of one request at a time, for services without engines. */
  Response: 2,
} as const;

export type RateKind = (typeof RateKind)[keyof typeof RateKind];

/** How recent the observations behind a report are. */
export const ReportAge = {
  /** Observed within the last message period; tells a temporary slowdown as well. */
  Fresh: 0,
  /** Has waited in a queue, so that it tells only the lasting rate. */
  Late: 1,
  /** The learned rate of the sender, for instances that have not learned one. */
  Learned: 2,
} as const;

export type ReportAge = (typeof ReportAge)[keyof typeof ReportAge];

/** An observed or learned rate of one endpoint, as it is sent to peers. */
export interface RateReport {
  /** Hash of the endpoint's incarnation. */
  readonly endpoint: number;
  readonly kind: RateKind;
  readonly age: ReportAge;
  /** Binary logarithm of the rate. */
  readonly logRate: number;
  /** Number of observations, from 1 to `MAXIMUM_REPORT_WEIGHT`. */
  readonly weight: number;
}

/** Range of the binary logarithms of plausible rates. Others are ignored. */
const LOG_RATE_RANGES: readonly (readonly [minimum: number, maximum: number])[] = [
  [0, 12],
  [-14, 4],
  [-17, 1],
];

/** Fits, with kind and age, into the range that the message encoding stores in one byte. */
export const MAXIMUM_REPORT_WEIGHT = 15;

/** Numbers of one encoded report. */
export const RATE_REPORT_FIELD_COUNT = 3;

const LOG_RATE_STEPS = 64;
const LOG_RATE_OFFSET = 32;
const MAXIMUM_CODE = 2 * LOG_RATE_OFFSET * LOG_RATE_STEPS;
const MAXIMUM_HASH = 2 ** 32 - 1;
const KIND_COUNT = 4;
const AGE_COUNT = 4;
const KINDS: readonly RateKind[] = Object.values(RateKind);
const AGES: readonly ReportAge[] = Object.values(ReportAge);

/** True for a rate that an endpoint can have. */
export function isPlausibleRate(kind: RateKind, logRate: number): boolean {
  const [minimum, maximum] = LOG_RATE_RANGES[kind] ?? [0, 0];
  return logRate >= minimum && logRate <= maximum;
}

/** Encodes reports as a flat list of integers, with about ten bytes for each report. */
export function encodeRateReports(reports: readonly RateReport[]): number[] {
  return reports.flatMap(({ endpoint, kind, age, logRate, weight }) => [
    endpoint,
    Math.round((logRate + LOG_RATE_OFFSET) * LOG_RATE_STEPS),
    kind + KIND_COUNT * (age + AGE_COUNT * weight),
  ]);
}

function isIntegerBetween(value: unknown, minimum: number, maximum: number): value is number {
  return Number.isInteger(value) && Number(value) >= minimum && Number(value) <= maximum;
}

function decodeRateReport(endpoint: unknown, code: unknown, tag: unknown): RateReport | undefined {
  if (
    !isIntegerBetween(endpoint, 0, MAXIMUM_HASH) ||
    !isIntegerBetween(code, 0, MAXIMUM_CODE) ||
    !isIntegerBetween(tag, 0, KIND_COUNT * AGE_COUNT * (MAXIMUM_REPORT_WEIGHT + 1) - 1)
  ) {
    return undefined;
  }
  const kind = KINDS[tag % KIND_COUNT];
  const age = AGES[Math.floor(tag / KIND_COUNT) % AGE_COUNT];
  const weight = Math.floor(tag / (KIND_COUNT * AGE_COUNT));
  const logRate = code / LOG_RATE_STEPS - LOG_RATE_OFFSET;
  return kind === undefined || age === undefined || weight < 1 || !isPlausibleRate(kind, logRate)
    ? undefined
    : { endpoint, kind, age, logRate, weight };
}

/** Decodes reports of a peer. Ignores those that are malformed or not plausible. */
export function decodeRateReports(value: unknown, maximumReports: number): RateReport[] {
  const reports: RateReport[] = [];
  if (!Array.isArray(value)) {
    return reports;
  }
  const numbers = value as readonly unknown[];
  const end = Math.min(numbers.length, maximumReports * RATE_REPORT_FIELD_COUNT);
  for (let index = 0; index + 2 < end; index += RATE_REPORT_FIELD_COUNT) {
    const report = decodeRateReport(numbers[index], numbers[index + 1], numbers[index + 2]);
    if (report !== undefined) {
      reports.push(report);
    }
  }
  return reports;
}
