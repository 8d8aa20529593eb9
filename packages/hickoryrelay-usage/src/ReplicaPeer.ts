import { encodeIdentifier } from './RequestIdentifierCodec.js';

import type { CountedSequences } from './CountedSequences.js';
import type { JournalRecord, UsageJournal } from './UsageJournal.js';
import type { InstanceIdentity, UsageName, UsageRecordEntry } from 'hickoryrelay-link/PeerMessages';
import type { PeerNetwork } from 'hickoryrelay-link/PeerNetwork';

/** Time after which an unacknowledged message is sent again. */
const RETRANSMIT_TIMEOUT_MILLISECONDS = 1000;

interface SentMessage {
  readonly sentMilliseconds: number;
  readonly names: readonly number[];
  readonly isFullRecord: boolean;
  /** Sequences of the records sent, and whether each was closed. */
  readonly records: readonly (readonly [sequence: number, isClosed: boolean])[];
}

/** Assigns indexes to the names in an instance's records, in the order of first use. */
export class NameTable {
  private readonly indexes = new Map<string, number>();

  indexOf(name: string): number {
    const index = this.indexes.get(name) ?? this.indexes.size;
    this.indexes.set(name, index);
    return index;
  }
}

/**
 * Allocates message numbers that are unique within the incarnation. A late acknowledgement from a
 * replica peer that was dropped and chosen again must not match one of its new messages.
 */
export class MessageNumbers {
  private last = 0;

  next(): number {
    this.last += 1;
    return this.last;
  }
}

/** Replicates the usage records of this instance to one peer. */
export class ReplicaPeer {
  readonly identity: InstanceIdentity;

  private readonly network: PeerNetwork;

  private readonly journal: UsageJournal;

  private readonly nameTable: NameTable;

  private readonly numbers: MessageNumbers;

  /** Sequences to be sent; true if the full record must be sent even if the peer has it. */
  private readonly outbox = new Map<number, boolean>();

  /** Records that the peer has acknowledged, with the completion tokens last sent to it. */
  private readonly replicatedTokens = new Map<number, number>();

  private readonly acknowledgedNames = new Set<number>();

  private readonly unacknowledged = new Map<number, SentMessage>();

  constructor(
    identity: InstanceIdentity,
    network: PeerNetwork,
    journal: UsageJournal,
    nameTable: NameTable,
    numbers: MessageNumbers,
  ) {
    this.identity = identity;
    this.network = network;
    this.journal = journal;
    this.nameTable = nameTable;
    this.numbers = numbers;
  }

  /** Queues the current state of a record for the peer. */
  enqueue(sequence: number, needsFullRecord = false): void {
    this.outbox.set(sequence, needsFullRecord || this.outbox.get(sequence) === true);
  }

  /** Sends all queued records, and again those that were not acknowledged in time. */
  flush(nowMilliseconds: number): void {
    this.requeueUnacknowledged(nowMilliseconds);
    this.send([...this.outbox], nowMilliseconds);
  }

  /** Sends queued closed records; the others wait for the next batch. */
  flushClosedRecords(nowMilliseconds: number): void {
    const closedRecords = [...this.outbox].filter(
      ([sequence]) => this.journal.find(sequence)?.closedWindow !== 0,
    );
    this.send(closedRecords, nowMilliseconds);
  }

  private send(
    entries: readonly (readonly [sequence: number, needsFullRecord: boolean])[],
    nowMilliseconds: number,
  ): void {
    const fullRecords: JournalRecord[] = [];
    const closedRecords: JournalRecord[] = [];
    for (const [sequence, needsFullRecord] of entries) {
      this.outbox.delete(sequence);
      const record = this.journal.find(sequence);
      if (record !== undefined && (needsFullRecord || !this.replicatedTokens.has(sequence))) {
        fullRecords.push(record);
      } else if (record !== undefined && record.closedWindow > 0) {
        closedRecords.push(record);
      }
    }
    // The links encode sequences as differences, which are small in ascending order.
    const bySequence = (left: JournalRecord, right: JournalRecord) =>
      left.sequence - right.sequence;
    this.sendFullRecords(fullRecords.toSorted(bySequence), nowMilliseconds);
    this.sendClosedRecords(closedRecords.toSorted(bySequence), nowMilliseconds);
  }

  /** Sends token counts that grew by the threshold, and the sequences that are sealed. */
  sendProgress(thresholdTokens: number, counted: CountedSequences | undefined): void {
    const entries = [...this.replicatedTokens]
      .map(([sequence, tokens]) => ({ record: this.journal.find(sequence), tokens }))
      .filter(
        ({ record, tokens }) =>
          record?.closedWindow === 0 && record.completionTokens - tokens >= thresholdTokens,
      )
      .map(
        ({ record }) => [record?.sequence ?? 0, record?.completionTokens ?? 0] as [number, number],
      )
      .toSorted(([left], [right]) => left - right);
    if (entries.length === 0 && counted === undefined) {
      return;
    }
    entries.forEach(([sequence, tokens]) => this.replicatedTokens.set(sequence, tokens));
    this.network.send(this.identity.name, {
      type: 'usage-progress',
      entries,
      ...(counted === undefined ? {} : { counted: counted.mark() }),
    });
  }

  /** Handles an acknowledgement. Returns the sequences that the peer now stores as closed. */
  acknowledge(number: number): readonly number[] {
    const message = this.unacknowledged.get(number);
    this.unacknowledged.delete(number);
    message?.names.forEach((name) => this.acknowledgedNames.add(name));
    message?.records.forEach(([sequence]) => {
      this.replicatedTokens.set(sequence, this.replicatedTokens.get(sequence) ?? 0);
    });
    return (message?.records ?? [])
      .filter(([, isClosed]) => isClosed)
      .map(([sequence]) => sequence);
  }

  /** Drops records that are sealed. */
  drop(counted: CountedSequences): void {
    for (const sequence of [...this.replicatedTokens.keys()]) {
      if (counted.has(sequence)) {
        this.replicatedTokens.delete(sequence);
      }
    }
  }

  private sendFullRecords(records: readonly JournalRecord[], nowMilliseconds: number): void {
    if (records.length === 0) {
      return;
    }
    const names = new Map<number, string>();
    const indexOf = (name: string) => {
      const index = this.nameTable.indexOf(name);
      if (!this.acknowledgedNames.has(index)) {
        names.set(index, name);
      }
      return index;
    };
    const entries = records.map((record): UsageRecordEntry => [
      record.sequence,
      encodeIdentifier(record.requestIdentifier),
      indexOf(record.account),
      indexOf(record.className),
      indexOf(record.subject),
      indexOf(record.endpoint),
      record.promptTokens,
      record.completionTokens,
      record.closedWindow,
    ]);
    const number = this.trackSent(records, [...names.keys()], true, nowMilliseconds);
    const message = { type: 'usage-open' as const, number, names: [...names] as UsageName[] };
    this.network.send(this.identity.name, { ...message, records: entries });
  }

  private sendClosedRecords(records: readonly JournalRecord[], nowMilliseconds: number): void {
    for (const window of new Set(records.map(({ closedWindow }) => closedWindow))) {
      const recordsOfWindow = records.filter(({ closedWindow }) => closedWindow === window);
      const number = this.trackSent(recordsOfWindow, [], false, nowMilliseconds);
      const entries = recordsOfWindow.map(
        ({ sequence, promptTokens, completionTokens }) =>
          [sequence, promptTokens, completionTokens] as const,
      );
      this.network.send(this.identity.name, { type: 'usage-close', number, window, entries });
    }
  }

  private trackSent(
    records: readonly JournalRecord[],
    names: readonly number[],
    isFullRecord: boolean,
    sentMilliseconds: number,
  ): number {
    const number = this.numbers.next();
    this.unacknowledged.set(number, {
      sentMilliseconds,
      names,
      isFullRecord,
      records: records.map(({ sequence, closedWindow }) => [sequence, closedWindow > 0]),
    });
    return number;
  }

  private requeueUnacknowledged(nowMilliseconds: number): void {
    for (const [number, message] of [...this.unacknowledged]) {
      if (nowMilliseconds - message.sentMilliseconds >= RETRANSMIT_TIMEOUT_MILLISECONDS) {
        this.unacknowledged.delete(number);
        message.records.forEach(([sequence]) => this.enqueue(sequence, message.isFullRecord));
      }
    }
  }
}
