import { CountedSequences, sequencesOf } from './CountedSequences.js';
import { UsageTotals } from './UsageTotals.js';

import type { OwnStatement } from './UsageJournal.js';
import type { SealedMark } from './UsageSeal.js';
import type {
  AdoptedRecordEntry,
  CountedMark,
  UsageLineEntry,
} from 'hickoryrelay-link/PeerMessages';

/** What one instance stated for a window. */
export interface UsageStatement {
  readonly incarnation: string;
  readonly own: OwnStatement | undefined;
  readonly adopted: readonly (readonly [string, readonly AdoptedRecordEntry[]])[];
}

/** Tells whether a version of a record is to be counted rather than another one. */
function isBetter(entry: AdoptedRecordEntry, other: AdoptedRecordEntry): boolean {
  const [isOwn, isOtherOwn] = [entry[7], other[7]];
  return isOwn === isOtherOwn ? entry[5] > other[5] : isOwn;
}

/** Adds statements to what is counted, so that each record counts once. */
export class UsageMerge {
  private readonly window: number;

  private readonly marks = new Map<string, CountedSequences>();

  private readonly changedWindows = new Map<string, number>();

  private readonly totals = new UsageTotals();

  constructor(marks: readonly SealedMark[], window: number) {
    this.window = window;
    for (const [incarnation, mark, changedWindow] of marks) {
      this.marks.set(incarnation, CountedSequences.from(mark));
      this.changedWindows.set(incarnation, changedWindow);
    }
  }

  /** Adds the statements: first what instances state themselves, then records of dead ones. */
  addAll(statements: readonly UsageStatement[]): void {
    statements.forEach(({ incarnation, own }) => this.addOwn(incarnation, own));
    const best = new Map<string, Map<number, AdoptedRecordEntry>>();
    for (const [incarnation, entries] of statements.flatMap(({ adopted }) => adopted)) {
      const records = best.get(incarnation) ?? new Map<number, AdoptedRecordEntry>();
      best.set(incarnation, records);
      for (const entry of entries) {
        const previous = records.get(entry[0]);
        if (previous === undefined || isBetter(entry, previous)) {
          records.set(entry[0], entry);
        }
      }
    }
    for (const [incarnation, records] of best) {
      records.forEach((entry) => this.addAdopted(incarnation, entry));
    }
  }

  get lines(): readonly UsageLineEntry[] {
    return this.totals.entries();
  }

  get sealedMarks(): readonly SealedMark[] {
    return [...this.marks].map(([incarnation, counted]): SealedMark => {
      const mark: CountedMark = counted.mark();
      return [incarnation, mark, this.changedWindows.get(incarnation) ?? this.window];
    });
  }

  /** A statement is a sum, so it is counted only if none of its records is counted. */
  private addOwn(incarnation: string, own: OwnStatement | undefined): void {
    const sequences = [...sequencesOf(own?.sequences ?? [])];
    const counted = this.markOf(incarnation);
    if (own === undefined || sequences.some((sequence) => counted.has(sequence))) {
      return;
    }
    sequences.forEach((sequence) => counted.add(sequence));
    own.lines.forEach((line) => this.totals.add(line));
    this.noteChange(incarnation, sequences.length);
  }

  private addAdopted(incarnation: string, entry: AdoptedRecordEntry): void {
    const [sequence, account, className, subject, prompt, completion, closedWindow] = entry;
    if (this.markOf(incarnation).add(sequence)) {
      this.totals.add([account, className, subject, closedWindow, 1, prompt, completion]);
      this.noteChange(incarnation, 1);
    }
  }

  private noteChange(incarnation: string, count: number): void {
    if (count > 0) {
      this.changedWindows.set(incarnation, this.window);
    }
  }

  private markOf(incarnation: string): CountedSequences {
    const counted = this.marks.get(incarnation) ?? new CountedSequences();
    this.marks.set(incarnation, counted);
    return counted;
  }
}
