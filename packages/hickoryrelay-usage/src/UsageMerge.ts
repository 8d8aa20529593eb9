import { CountedSequences, sequencesOf } from './CountedSequences.js';
import { UsageTotals } from './UsageTotals.js';

import type { OwnStatement } from './UsageJournal.js';
import type { SealedMark } from './UsageSeal.js';
import type {
  AdoptedRecordEntry,
  CountedMark,
  UsageLineEntry,
} from 'hickoryrelay-link/PeerMessages';

/** The usage that one instance states for a window. */
export interface UsageStatement {
  readonly incarnation: string;
  readonly own: OwnStatement | undefined;
  readonly adopted: readonly (readonly [string, readonly AdoptedRecordEntry[]])[];
}

/** Whether a version of a record is counted in place of another: the owner's, or the higher one. */
function takesPrecedence(entry: AdoptedRecordEntry, other: AdoptedRecordEntry): boolean {
  const [isFromOwner, isOtherFromOwner] = [entry[7], other[7]];
  return isFromOwner === isOtherFromOwner ? entry[5] > other[5] : isFromOwner;
}

/** Merges statements into the counted usage, so that each record is counted once. */
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

  /** Adds the own records of all instances first, then the adopted records of dead ones. */
  addAll(statements: readonly UsageStatement[]): void {
    statements.forEach(({ incarnation, own }) => this.addOwn(incarnation, own));
    const preferred = new Map<string, Map<number, AdoptedRecordEntry>>();
    for (const [incarnation, entries] of statements.flatMap(({ adopted }) => adopted)) {
      const records = preferred.get(incarnation) ?? new Map<number, AdoptedRecordEntry>();
      preferred.set(incarnation, records);
      for (const entry of entries) {
        const previous = records.get(entry[0]);
        if (previous === undefined || takesPrecedence(entry, previous)) {
          records.set(entry[0], entry);
        }
      }
    }
    for (const [incarnation, records] of preferred) {
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

  /** A statement is a sum, so it is counted only if none of its records is counted yet. */
  private addOwn(incarnation: string, own: OwnStatement | undefined): void {
    const sequences = [...sequencesOf(own?.sequences ?? [])];
    const counted = this.countedOf(incarnation);
    if (own === undefined || sequences.some((sequence) => counted.has(sequence))) {
      return;
    }
    sequences.forEach((sequence) => counted.add(sequence));
    own.lines.forEach((line) => this.totals.add(line));
    this.recordChange(incarnation, sequences.length);
  }

  private addAdopted(incarnation: string, entry: AdoptedRecordEntry): void {
    const [sequence, account, className, subject, prompt, completion, closedWindow] = entry;
    if (this.countedOf(incarnation).add(sequence)) {
      this.totals.add([account, className, subject, closedWindow, 1, prompt, completion]);
      this.recordChange(incarnation, 1);
    }
  }

  private recordChange(incarnation: string, count: number): void {
    if (count > 0) {
      this.changedWindows.set(incarnation, this.window);
    }
  }

  private countedOf(incarnation: string): CountedSequences {
    const counted = this.marks.get(incarnation) ?? new CountedSequences();
    this.marks.set(incarnation, counted);
    return counted;
  }
}
