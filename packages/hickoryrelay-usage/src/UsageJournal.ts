import { invariant } from 'hickoryrelay/Invariant';

import { runsOf } from './CountedSequences.js';
import { UsageTotals } from './UsageTotals.js';
import type { TokenCounts } from './CallMeter.js';

import type { CountedSequences } from './CountedSequences.js';
import type { SequenceRuns, UsageLineEntry } from 'hickoryrelay-link/PeerMessages';

/** Identifies the call, account, class of work and subject of a usage record. */
export interface UsageSubject {
  readonly requestIdentifier: string;
  readonly account: string;
  readonly className: string;
  /** The model, or the route of a plain service. */
  readonly subject: string;
}

/** The usage record of one call of this instance. */
export interface JournalRecord extends UsageSubject {
  readonly sequence: number;
  readonly endpoint: string;
  readonly promptTokens: number;
  readonly completionTokens: number;
  /** Number of the window in which the call closed; 0 while it runs. */
  readonly closedWindow: number;
}

/** Closed records in the form of a seal, as sums with the sequences that they cover. */
export interface OwnStatement {
  readonly sequences: SequenceRuns;
  readonly lines: readonly UsageLineEntry[];
}

/** The usage records of this instance, by sequence, until they are sealed. */
export class UsageJournal {
  private readonly records = new Map<number, JournalRecord>();

  private lastSequence = 0;

  /** Opens a record and returns its sequence. */
  open(subject: UsageSubject, endpoint: string, promptTokens: number): number {
    this.lastSequence += 1;
    const sequence = this.lastSequence;
    const initial = { promptTokens, completionTokens: 0, closedWindow: 0 };
    this.records.set(sequence, { ...subject, sequence, endpoint, ...initial });
    return sequence;
  }

  find(sequence: number): JournalRecord | undefined {
    return this.records.get(sequence);
  }

  sequences(): IterableIterator<number> {
    return this.records.keys();
  }

  progress(sequence: number, completionTokens: number): void {
    this.updateOpen(sequence, { completionTokens });
  }

  setEndpoint(sequence: number, endpoint: string): void {
    this.updateOpen(sequence, { endpoint });
  }

  close(sequence: number, tokenCounts: TokenCounts, closedWindow: number): void {
    invariant(closedWindow > 0, `record ${sequence} closed in window ${closedWindow}`);
    this.updateOpen(sequence, { ...tokenCounts, closedWindow });
  }

  /** Sums the records that closed up to the window. Counted records must be dropped before. */
  statement(window: number): OwnStatement {
    const sequences: number[] = [];
    const totals = new UsageTotals();
    for (const record of this.records.values()) {
      const isIncluded = record.closedWindow > 0 && record.closedWindow <= window;
      if (isIncluded) {
        const { account, className, subject, closedWindow } = record;
        sequences.push(record.sequence);
        totals.add([
          ...([account, className, subject, closedWindow, 1] as const),
          record.promptTokens,
          record.completionTokens,
        ]);
      }
    }
    return { sequences: runsOf(sequences), lines: totals.entries() };
  }

  /** Drops closed records that are counted. */
  drop(counted: CountedSequences): void {
    for (const { sequence, closedWindow } of [...this.records.values()]) {
      if (closedWindow > 0 && counted.has(sequence)) {
        this.records.delete(sequence);
      }
    }
  }

  /**
   * Ignores closed and missing records. A record may be missing if a peer closed it while this
   * instance was considered dead.
   */
  private updateOpen(sequence: number, fields: Partial<JournalRecord>): void {
    const record = this.records.get(sequence);
    if (record !== undefined && record.closedWindow === 0) {
      this.records.set(sequence, { ...record, ...fields });
    }
  }
}
