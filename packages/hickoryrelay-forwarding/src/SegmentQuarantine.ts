import type { CrashEvidence, SegmentEvidence } from './CrashEvidence.js';
import type { Clock } from 'hickoryrelay/Clock';

/** Crashes of different engines that no other segment explains, after which a segment is blamed. */
const CRASHES_TO_QUARANTINE = 3;

/** Crashes within this time may have a common cause, such as the loss of a zone. */
const COMMON_CAUSE_MILLISECONDS = 100;

/** Crashes before a run with a segment that engines have begun before is not retried. */
const CRASHES_TO_WITHHOLD_PROVEN = 2;

/**
 * Segments that crashed the same engines and therefore cannot be told apart. A request that has all
 * of them is refused. One that has only some may run; its result tells them apart.
 */
export interface QuarantinedGroup {
  readonly segments: readonly number[];
  readonly crashes: number;
}

/** A segment with the crashes that no quarantined group explains. */
interface Suspect {
  readonly segment: number;
  readonly isProven: boolean;
  /** Times by hash of the engine incarnation. */
  readonly crashes: ReadonlyMap<number, number>;
}

function suspectOf({ segment, begunMilliseconds, crashes }: SegmentEvidence): Suspect {
  return { segment, isProven: begunMilliseconds !== undefined, crashes };
}

/** Counts crashes apart in time, since those at one time count once. */
function countMoments(times: Iterable<number>): number {
  let moments = 0;
  let last = Number.NEGATIVE_INFINITY;
  for (const time of [...times].toSorted((left, right) => left - right)) {
    if (time - last >= COMMON_CAUSE_MILLISECONDS) {
      moments += 1;
      last = time;
    }
  }
  return moments;
}

/** Crashes at one time count once for a segment that engines have begun before. */
function countCrashes({ isProven, crashes }: Suspect): number {
  return isProven ? countMoments(crashes.values()) : crashes.size;
}

/** Segments that no engine has begun come before others, then those with more crashes. */
function isMoreSuspect(left: Suspect, right: Suspect | undefined): boolean {
  if (right === undefined) {
    return true;
  }
  return left.isProven === right.isProven ? left.crashes.size > right.crashes.size : !left.isProven;
}

function findMostSuspect(suspects: readonly Suspect[]): Suspect | undefined {
  let most: Suspect | undefined;
  for (const suspect of suspects) {
    if (countCrashes(suspect) >= CRASHES_TO_QUARANTINE && isMoreSuspect(suspect, most)) {
      most = suspect;
    }
  }
  return most;
}

function haveSameCrashes({ crashes }: Suspect, others: ReadonlyMap<number, number>): boolean {
  return crashes.size === others.size && [...crashes.keys()].every((engine) => others.has(engine));
}

function withoutCrashes(suspect: Suspect, explained: ReadonlyMap<number, number>): Suspect {
  const remaining = [...suspect.crashes].filter(([engine]) => !explained.has(engine));
  return { ...suspect, crashes: new Map(remaining) };
}

/**
 * Finds the fewest segments that explain the crashes: blames the most suspect one, discounts its
 * crashes for all others, and continues while one is left with enough crashes.
 */
export function findQuarantinedGroups(evidence: Iterable<SegmentEvidence>): {
  readonly groups: readonly QuarantinedGroup[];
  /** Crashes of the other segments that no group explains, by segment. */
  readonly suspects: ReadonlyMap<number, Suspect>;
} {
  let suspects = [...evidence].map(suspectOf).filter(({ crashes }) => crashes.size > 0);
  const groups: QuarantinedGroup[] = [];
  let blamed = findMostSuspect(suspects);
  while (blamed !== undefined) {
    const { crashes: explained, isProven } = blamed;
    const segments = suspects
      .filter((suspect) => suspect.isProven === isProven && haveSameCrashes(suspect, explained))
      .map(({ segment }) => segment);
    groups.push({ segments, crashes: explained.size });
    suspects = suspects
      .map((suspect) => withoutCrashes(suspect, explained))
      .filter(({ crashes }) => crashes.size > 0);
    blamed = findMostSuspect(suspects);
  }
  return { groups, suspects: new Map(suspects.map((suspect) => [suspect.segment, suspect])) };
}

/** Decides which requests are refused or not retried because of the crashes of engines. */
export class SegmentQuarantine {
  private readonly evidence: CrashEvidence;

  private readonly clock: Clock;

  private readonly onChange: (groups: readonly QuarantinedGroup[]) => void;

  private refusals = 0;

  private decidedRevision = 0;

  private groups: readonly QuarantinedGroup[] = [];

  private suspects: ReadonlyMap<number, Suspect> = new Map();

  /**
   * The clock includes suspensions, so that evidence of a process resumed after a pause counts as
   * old. `onChange` is called with the groups whenever they differ from those before.
   */
  constructor(
    evidence: CrashEvidence,
    clock: Clock,
    onChange: (groups: readonly QuarantinedGroup[]) => void = () => {},
  ) {
    this.evidence = evidence;
    this.clock = clock;
    this.onChange = onChange;
  }

  /** The quarantined segments. */
  get segments(): readonly number[] {
    this.decide();
    return this.groups.flatMap(({ segments }) => segments);
  }

  /** Time on the clock of the evidence. */
  get now(): number {
    return this.clock.monotonicMilliseconds();
  }

  /** Returns the group because of which a request with these segments is refused, if any. */
  findGroup(segments: readonly number[]): QuarantinedGroup | undefined {
    this.decide();
    return this.groups.find((group) =>
      group.segments.every((segment) => segments.includes(segment)),
    );
  }

  /** Records that an engine has begun a run with these segments. */
  recordBegin(segments: readonly number[]): void {
    this.evidence.recordBegin(segments, this.now);
  }

  /** Records that an engine incarnation crashed before it began a run with these segments. */
  recordCrash(engine: number, segments: readonly number[]): void {
    this.evidence.recordCrash(engine, segments, this.now);
  }

  /** Records a refused request, so that its segments stay quarantined while such requests come. */
  recordRefusal(segments: readonly number[]): void {
    const { now } = this;
    this.refusals += 1;
    segments.forEach((segment) => this.evidence.recordRefusal(segment, now));
  }

  /** Number of requests refused. */
  get refusedRequests(): number {
    return this.refusals;
  }

  /** True if a lost run with these segments may have crashed its engine and is not to be retried. */
  isSuspect(segments: readonly number[]): boolean {
    this.decide();
    return segments.some((segment) => {
      const suspect = this.suspects.get(segment);
      const limit = suspect?.isProven === true ? CRASHES_TO_WITHHOLD_PROVEN : 1;
      return suspect !== undefined && countCrashes(suspect) >= limit;
    });
  }

  private decide(): void {
    if (this.decidedRevision === this.evidence.revision) {
      return;
    }
    this.decidedRevision = this.evidence.revision;
    const { groups, suspects } = findQuarantinedGroups(this.evidence.segments);
    const isChanged = JSON.stringify(groups) !== JSON.stringify(this.groups);
    this.groups = groups;
    this.suspects = suspects;
    if (isChanged) {
      this.onChange(groups);
    }
  }
}
