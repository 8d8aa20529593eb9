import { RecentTimes } from './RecentTimes.js';

/** Further crashes of a segment add nothing to the decision. */
const MAXIMUM_CRASHES_PER_SEGMENT = 32;

/** Bounds the segments that are tracked, and with them the size of messages. */
const MAXIMUM_TRACKED_SEGMENTS = 200;

/** Segments that are remembered as begun; at most twice as many, in a few megabytes. */
const MINIMUM_SOUND_SEGMENTS = 20_000;

/**
 * Time for which a segment that no engine has ever begun to answer is tracked after its last crash
 * or refused request. A trial any sooner could crash another engine.
 */
const UNPROVEN_LIFETIME_MILLISECONDS = 600_000;

/** The same for a segment that engines have answered before, which may be wrongly suspected. */
const PROVEN_LIFETIME_MILLISECONDS = 60_000;

/** Time for which a cleared segment is tracked, so that peers learn that it is sound. */
const CLEARED_LIFETIME_MILLISECONDS = 30_000;

/**
 * Reported times are ages at the time of sending, so copies of one time differ by the transit. A
 * smaller difference is not news.
 */
const TIME_TOLERANCE_MILLISECONDS = 300;

/** What is known about one prompt segment. Times are on the local clock. */
export interface SegmentEvidence {
  /** Hash of the segment and its service. */
  readonly segment: number;
  /**
   * Crashed engine incarnations, by hash, with the time of the crash: those that had not begun a
   * run with the segment, since the last time that an engine began one.
   */
  readonly crashes: ReadonlyMap<number, number>;
  /** When an engine last began a run with the segment; undefined if none is known to have. */
  readonly begunMilliseconds: number | undefined;
  /** Last crash or refused request. */
  readonly seenMilliseconds: number;
}

/** Evidence in the form in which instances exchange it: with ages, since clocks differ. */
export interface ReportedEvidence {
  readonly segment: number;
  readonly begunAgeMilliseconds: number | undefined;
  readonly seenAgeMilliseconds: number;
  readonly crashes: readonly { readonly engine: number; readonly ageMilliseconds: number }[];
}

/** Called when an observation of this instance has changed the evidence about a segment. */
type ChangeListener = (segment: number) => void;

/** The result of merging the evidence of a peer, as segments. */
export interface MergeResult {
  /** The peer knew more. */
  readonly learned: readonly number[];
  /** The peer does not know that the segment has been cleared. */
  readonly outdated: readonly number[];
}

/**
 * The crashes of engines and the prompt segments of the runs that they had not begun. A run that
 * begins clears all segments of its prompt. Copies of several instances can be merged in any order
 * and any number of times.
 */
export class CrashEvidence {
  private readonly tracked = new Map<number, SegmentEvidence>();

  /** Segments of begun runs, with the time of the last one. */
  private readonly sound = new RecentTimes(MINIMUM_SOUND_SEGMENTS);

  private readonly listeners = new Set<ChangeListener>();

  private changes = 0;

  /** Increases whenever the evidence changes. */
  get revision(): number {
    return this.changes;
  }

  get segments(): Iterable<SegmentEvidence> {
    return this.tracked.values();
  }

  get size(): number {
    return this.tracked.size;
  }

  get(segment: number): SegmentEvidence | undefined {
    return this.tracked.get(segment);
  }

  /** Calls the listener for changes by own observations. Returns the function that unsubscribes it. */
  subscribe(listener: ChangeListener): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /** Records that an engine has begun a run with these segments. */
  recordBegin(segments: readonly number[], now: number): void {
    for (const segment of segments) {
      this.sound.set(segment, now);
      this.clear(segment, now);
    }
  }

  /** Records that an engine incarnation crashed before it began a run with these segments. */
  recordCrash(engine: number, segments: readonly number[], now: number): void {
    for (const segment of segments) {
      const known = this.tracked.get(segment) ?? this.untracked(segment, now);
      if (!known.crashes.has(engine) && known.crashes.size < MAXIMUM_CRASHES_PER_SEGMENT) {
        const crashes = new Map(known.crashes).set(engine, now);
        this.replace({ ...known, crashes, seenMilliseconds: now });
        this.notify(segment);
      }
    }
  }

  /**
   * Records a refused request. A segment that no engine has begun stays tracked while requests with
   * it come; one that engines have begun before may be sound, so its time is not extended.
   */
  recordRefusal(segment: number, now: number): void {
    const known = this.tracked.get(segment);
    if (known !== undefined && known.begunMilliseconds === undefined) {
      this.tracked.set(segment, { ...known, seenMilliseconds: now });
    }
  }

  /** Adds the evidence of another instance. */
  merge(received: readonly ReportedEvidence[], now: number): MergeResult {
    const learned: number[] = [];
    const outdated: number[] = [];
    for (const report of received) {
      const { segment } = report;
      const seenMilliseconds = now - report.seenAgeMilliseconds;
      const known = this.tracked.get(segment) ?? this.untracked(segment, seenMilliseconds);
      const merged = this.mergeReport(known, report, now);
      const isLearned =
        !this.tracked.has(segment) ||
        merged.begunMilliseconds !== known.begunMilliseconds ||
        merged.crashes.size !== known.crashes.size;
      if (isLearned) {
        this.replace(merged);
        learned.push(segment);
      } else {
        this.tracked.set(segment, merged);
      }
      if (this.isOutdated(report, merged)) {
        outdated.push(segment);
      }
    }
    return { learned, outdated };
  }

  /** Returns what is known about a segment for peers. */
  report(segment: number, now: number): ReportedEvidence | undefined {
    const known = this.tracked.get(segment);
    return known === undefined
      ? undefined
      : {
          segment,
          begunAgeMilliseconds:
            known.begunMilliseconds === undefined ? undefined : now - known.begunMilliseconds,
          seenAgeMilliseconds: now - known.seenMilliseconds,
          crashes: [...known.crashes].map(([engine, atMilliseconds]) => ({
            engine,
            ageMilliseconds: now - atMilliseconds,
          })),
        };
  }

  /** Discards evidence that is too old. */
  expire(now: number): void {
    for (const known of this.tracked.values()) {
      if (now - known.seenMilliseconds > this.lifetimeOf(known)) {
        this.tracked.delete(known.segment);
        this.changes += 1;
      }
    }
  }

  private lifetimeOf({ crashes, begunMilliseconds }: SegmentEvidence): number {
    if (crashes.size === 0) {
      return CLEARED_LIFETIME_MILLISECONDS;
    }
    return begunMilliseconds === undefined
      ? UNPROVEN_LIFETIME_MILLISECONDS
      : PROVEN_LIFETIME_MILLISECONDS;
  }

  private untracked(segment: number, now: number): SegmentEvidence {
    return {
      segment,
      crashes: new Map(),
      begunMilliseconds: this.sound.get(segment),
      seenMilliseconds: now,
    };
  }

  private mergeReport(
    known: SegmentEvidence,
    report: ReportedEvidence,
    now: number,
  ): SegmentEvidence {
    const crashes = new Map(known.crashes);
    for (const { engine, ageMilliseconds } of report.crashes) {
      if (!crashes.has(engine) && crashes.size < MAXIMUM_CRASHES_PER_SEGMENT) {
        crashes.set(engine, now - ageMilliseconds);
      }
    }
    return this.withoutCleared({
      segment: known.segment,
      crashes,
      begunMilliseconds: this.laterBegin(known.begunMilliseconds, report, now),
      seenMilliseconds: Math.max(known.seenMilliseconds, now - report.seenAgeMilliseconds),
    });
  }

  private isOutdated(
    { begunAgeMilliseconds, crashes }: ReportedEvidence,
    { begunMilliseconds, crashes: knownCrashes }: SegmentEvidence,
  ): boolean {
    return (
      begunMilliseconds !== undefined &&
      (begunAgeMilliseconds === undefined ||
        crashes.some(({ engine }) => !knownCrashes.has(engine)))
    );
  }

  private clear(segment: number, now: number): void {
    const known = this.tracked.get(segment);
    if (known === undefined) {
      return;
    }
    const isNews = known.begunMilliseconds === undefined || known.crashes.size > 0;
    const cleared = this.withoutCleared({ ...known, begunMilliseconds: now });
    if (isNews) {
      this.replace(cleared);
      this.notify(segment);
    } else {
      this.tracked.set(segment, cleared);
    }
  }

  private withoutCleared(evidence: SegmentEvidence): SegmentEvidence {
    const { begunMilliseconds, crashes } = evidence;
    if (begunMilliseconds === undefined) {
      return evidence;
    }
    const remaining = [...crashes].filter(
      ([, atMilliseconds]) => atMilliseconds > begunMilliseconds,
    );
    return remaining.length === crashes.size
      ? evidence
      : { ...evidence, crashes: new Map(remaining) };
  }

  private laterBegin(
    known: number | undefined,
    { begunAgeMilliseconds }: ReportedEvidence,
    now: number,
  ): number | undefined {
    if (begunAgeMilliseconds === undefined) {
      return known;
    }
    const reported = now - begunAgeMilliseconds;
    const isLater = known === undefined || reported > known + TIME_TOLERANCE_MILLISECONDS;
    return isLater ? reported : known;
  }

  private replace(evidence: SegmentEvidence): void {
    this.changes += 1;
    this.tracked.set(evidence.segment, evidence);
    if (this.tracked.size > MAXIMUM_TRACKED_SEGMENTS) {
      this.evictWeakest();
    }
  }

  /** Evicts the segment with the fewest crashes, of these the one seen longest ago. */
  private evictWeakest(): void {
    let weakest: SegmentEvidence | undefined;
    for (const known of this.tracked.values()) {
      const isWeaker =
        weakest === undefined ||
        known.crashes.size < weakest.crashes.size ||
        (known.crashes.size === weakest.crashes.size &&
          known.seenMilliseconds < weakest.seenMilliseconds);
      if (isWeaker) {
        weakest = known;
      }
    }
    if (weakest !== undefined) {
      this.tracked.delete(weakest.segment);
    }
  }

  private notify(segment: number): void {
    this.listeners.forEach((listener) => listener(segment));
  }
}
