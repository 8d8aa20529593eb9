import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import {
  CRASH_EVIDENCE_KIND,
  crashEvidenceElements,
  decodeCrashEvidence,
} from './CrashEvidenceMessage.js';

import type { CrashEvidence, ReportedEvidence } from './CrashEvidence.js';
import type { SegmentQuarantine } from './SegmentQuarantine.js';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { TaskContext } from 'hickoryrelay/Task';
import type { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';

const STORE_KEY = '/hickoryrelay/quarantine';

const PERIOD_MILLISECONDS = 500;

/** Spreads the calls of all instances, most of which then find that there is nothing to write. */
const MAXIMUM_DELAY_MILLISECONDS = 1500;

/** Renews the times in the stored evidence well before they are too old. */
const RENEWAL_PERIOD_MILLISECONDS = 120_000;

/** Collaborators of the task. */
export interface CrashEvidenceStoreParts {
  readonly store: KeyValueStore;
  readonly evidence: CrashEvidence;
  readonly quarantine: SegmentQuarantine;
  readonly random: RandomSource;
  readonly log: ComponentLogger;
}

/** Evidence as stored. */
interface StoredEvidence {
  /** Unix time of the write, at which the ages apply. */
  readonly writtenMilliseconds: number;
  readonly evidence: readonly ReportedEvidence[];
}

function encodeStored({ writtenMilliseconds, evidence }: StoredEvidence): string {
  const message = { kind: CRASH_EVIDENCE_KIND, replyTo: undefined, evidence } as const;
  return JSON.stringify([writtenMilliseconds, ...crashEvidenceElements(message)]);
}

/** Returns undefined if the value is not valid. */
function decodeStored(value: string): StoredEvidence | undefined {
  let elements: unknown;
  try {
    elements = JSON.parse(value);
  } catch {
    return undefined;
  }
  if (!Array.isArray(elements)) {
    return undefined;
  }
  const [writtenMilliseconds, , ...fields] = elements as unknown[];
  const message = decodeCrashEvidence(fields);
  return message === undefined || typeof writtenMilliseconds !== 'number'
    ? undefined
    : { writtenMilliseconds, evidence: message.evidence };
}

/** Adds the time since the write to all ages. */
function aged(stored: StoredEvidence, wallMilliseconds: number): ReportedEvidence[] {
  const elapsed = Math.max(0, wallMilliseconds - stored.writtenMilliseconds);
  return stored.evidence.map(({ segment, begunAgeMilliseconds, seenAgeMilliseconds, crashes }) => ({
    segment,
    begunAgeMilliseconds:
      begunAgeMilliseconds === undefined ? undefined : begunAgeMilliseconds + elapsed,
    seenAgeMilliseconds: seenAgeMilliseconds + elapsed,
    crashes: crashes.map(({ engine, ageMilliseconds }) => ({
      engine,
      ageMilliseconds: ageMilliseconds + elapsed,
    })),
  }));
}

/**
 * Keeps the evidence about quarantined segments in the store, for a start of all instances at the
 * same time. An instance reads it once when it starts, and then only when the quarantine changes.
 */
export class CrashEvidenceStoreTask extends Task {
  override readonly name = 'crash evidence store';

  private readonly parts: CrashEvidenceStoreParts;

  /** The quarantined segments as last read or written; undefined until the first read. */
  private storedSegments: string | undefined;

  private storedAtMilliseconds = Number.NEGATIVE_INFINITY;

  /** True after a restore of the store, which may have lost the evidence. */
  private mayBeLost = false;

  constructor(parts: CrashEvidenceStoreParts) {
    super();
    this.parts = parts;
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    const { store, random, log } = this.parts;
    let hasFailed = false;
    const removeObserver = store.era.onRestore(() => {
      this.mayBeLost = true;
    });
    signal.addEventListener('abort', removeObserver, { once: true });
    for (;;) {
      const isKnown = this.storedSegments !== undefined;
      if (!isKnown || this.isOutdated(clock.monotonicMilliseconds())) {
        try {
          if (isKnown) {
            await clock.sleep(random.fraction() * MAXIMUM_DELAY_MILLISECONDS, signal);
          }
          await this.synchronize(clock.monotonicMilliseconds(), clock.wallMilliseconds());
          hasFailed = false;
        } catch (error) {
          if (!hasFailed && !signal.aborted) {
            log.warn('Could not read or write the crash evidence in the store.', {
              reason: describeFailure(failureOf(error)),
            });
          }
          hasFailed = true;
        }
      }
      yield;
      await clock.sleep(PERIOD_MILLISECONDS, signal);
    }
  }

  /** The quarantined segments as a comparable text. */
  private get segments(): string {
    return this.parts.quarantine.segments.toSorted((left, right) => left - right).join(',');
  }

  private isOutdated(now: number): boolean {
    const { segments } = this;
    const isRenewalDue =
      segments !== '' && now - this.storedAtMilliseconds > RENEWAL_PERIOD_MILLISECONDS;
    return this.mayBeLost || segments !== this.storedSegments || isRenewalDue;
  }

  /** Reads the stored evidence, and replaces it if another quarantine follows from all evidence. */
  private async synchronize(now: number, wallMilliseconds: number): Promise<void> {
    const { store, evidence, quarantine } = this.parts;
    const entry = await store.get(STORE_KEY);
    this.mayBeLost = false;
    const stored = entry === undefined ? undefined : decodeStored(entry.value);
    if (stored !== undefined) {
      evidence.merge(aged(stored, wallMilliseconds), quarantine.now);
      evidence.expire(quarantine.now);
    }
    this.storedSegments = (stored?.evidence ?? [])
      .map(({ segment }) => segment)
      .toSorted((left, right) => left - right)
      .join(',');
    this.storedAtMilliseconds =
      stored === undefined ? now : now - (wallMilliseconds - stored.writtenMilliseconds);
    if (this.isOutdated(now)) {
      await this.write(wallMilliseconds);
      this.storedAtMilliseconds = now;
    }
  }

  private async write(wallMilliseconds: number): Promise<void> {
    const { store, evidence, quarantine } = this.parts;
    const { segments } = this;
    const reports = quarantine.segments
      .map((segment) => evidence.report(segment, quarantine.now))
      .filter((report) => report !== undefined);
    const value = encodeStored({ writtenMilliseconds: wallMilliseconds, evidence: reports });
    await store.commit({
      compare: [],
      success: [{ type: 'put', key: STORE_KEY, value }],
      failure: [],
    });
    this.storedSegments = segments;
  }
}
