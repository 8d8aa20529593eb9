import { encodeIdentifier } from './RequestIdentifierCodec.js';

import type { CountedSequences } from './CountedSequences.js';
import type { JournalRecord, UsageJournal } from './UsageJournal.js';
import type { InstanceIdentity, UsageName, UsageRecordEntry } from 'hickoryrelay-link/PeerMessages';
import type { PeerNetwork } from 'hickoryrelay-link/PeerNetwork';

/** A message without an acknowledgement after this time is sent again. */
const RESEND_AFTER_MILLISECONDS = 1000;

interface SentMessage {
  readonly sentMilliseconds: number;
  readonly names: readonly number[];
  readonly isWhole: boolean;
  /** Sequences sent, and whether as closed. */
  readonly records: readonly (readonly [sequence: number, isClosed: boolean])[];
}

/** The names of an instance's records, numbered in the order of their first use. */
export class NameTable {
  private readonly indexes = new Map<string, number>();

  indexOf(name: string): number {
    const index = this.indexes.get(name) ?? this.indexes.size;
    this.indexes.set(name, index);
    return index;
  }
}

/**
 * Numbers of messages, unique for the incarnation. A holder that is dropped and chosen again must
 * not take late acknowledgements of its earlier messages for those of new ones.
 */
export class MessageNumbers {
  private last = 0;

  next(): number {
    this.last += 1;
    return this.last;
  }
}

/** A peer that holds the usage records of this instance, as this instance sees it. */
export class ReplicaHolder {
  readonly identity: InstanceIdentity;

  private readonly network: PeerNetwork;

  private readonly journal: UsageJournal;

  private readonly table: NameTable;

  private readonly numbers: MessageNumbers;

  /** What the peer lacks; true if the record must be sent whole although the peer holds it. */
  private readonly outbox = new Map<number, boolean>();

  /** Records whose opening the peer has acknowledged, with the figure that it has. */
  private readonly held = new Map<number, number>();

  private readonly heldNames = new Set<number>();

  private readonly sent = new Map<number, SentMessage>();

  constructor(
    identity: InstanceIdentity,
    network: PeerNetwork,
    journal: UsageJournal,
    table: NameTable,
    numbers: MessageNumbers,
  ) {
    this.identity = identity;
    this.network = network;
    this.journal = journal;
    this.table = table;
    this.numbers = numbers;
  }

  /** Notes that the peer lacks the current state of a record. */
  enqueue(sequence: number, needsWhole = false): void {
    this.outbox.set(sequence, needsWhole || this.outbox.get(sequence) === true);
  }

  /** Sends what the peer lacks. */
  flush(nowMilliseconds: number): void {
    this.requeueUnacknowledged(nowMilliseconds);
    this.send([...this.outbox], nowMilliseconds);
  }

  /** Sends the closed records that the peer lacks; the others wait for the batch. */
  flushClosed(nowMilliseconds: number): void {
    const closed = [...this.outbox].filter(
      ([sequence]) => this.journal.find(sequence)?.closedWindow !== 0,
    );
    this.send(closed, nowMilliseconds);
  }

  private send(
    entries: readonly (readonly [sequence: number, needsWhole: boolean])[],
    nowMilliseconds: number,
  ): void {
    const whole: JournalRecord[] = [];
    const closed: JournalRecord[] = [];
    for (const [sequence, needsWhole] of entries) {
      this.outbox.delete(sequence);
      const record = this.journal.find(sequence);
      if (record !== undefined && (needsWhole || !this.held.has(sequence))) {
        whole.push(record);
      } else if (record !== undefined && record.closedWindow > 0) {
        closed.push(record);
      }
    }
    // Ascending sequences have small differences, which is what the links send.
    const bySequence = (left: JournalRecord, right: JournalRecord) =>
      left.sequence - right.sequence;
    this.sendWhole(whole.toSorted(bySequence), nowMilliseconds);
    this.sendClosed(closed.toSorted(bySequence), nowMilliseconds);
  }

  /** Sends the figures of running calls that grew by the threshold, and what is sealed. */
  sendProgress(thresholdTokens: number, counted: CountedSequences | undefined): void {
    const entries = [...this.held]
      .map(([sequence, figure]) => ({ record: this.journal.find(sequence), figure }))
      .filter(
        ({ record, figure }) =>
          record?.closedWindow === 0 && record.completionTokens - figure >= thresholdTokens,
      )
      .map(
        ({ record }) => [record?.sequence ?? 0, record?.completionTokens ?? 0] as [number, number],
      )
      .toSorted(([left], [right]) => left - right);
    if (entries.length === 0 && counted === undefined) {
      return;
    }
    entries.forEach(([sequence, figure]) => this.held.set(sequence, figure));
    this.network.send(this.identity.name, {
      type: 'usage-progress',
      entries,
      ...(counted === undefined ? {} : { counted: counted.mark() }),
    });
  }

  /** Takes an acknowledgement. Returns the sequences that the peer now holds as closed. */
  acknowledge(number: number): readonly number[] {
    const message = this.sent.get(number);
    this.sent.delete(number);
    message?.names.forEach((name) => this.heldNames.add(name));
    message?.records.forEach(([sequence]) => {
      this.held.set(sequence, this.held.get(sequence) ?? 0);
    });
    return (message?.records ?? [])
      .filter(([, isClosed]) => isClosed)
      .map(([sequence]) => sequence);
  }

  /** Forgets records that are sealed. */
  drop(counted: CountedSequences): void {
    for (const sequence of [...this.held.keys()]) {
      if (counted.has(sequence)) {
        this.held.delete(sequence);
      }
    }
  }

  private sendWhole(records: readonly JournalRecord[], nowMilliseconds: number): void {
    if (records.length === 0) {
      return;
    }
    const names = new Map<number, string>();
    const indexOf = (name: string) => {
      const index = this.table.indexOf(name);
      if (!this.heldNames.has(index)) {
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
    const number = this.remember(records, [...names.keys()], true, nowMilliseconds);
    const message = { type: 'usage-open' as const, number, names: [...names] as UsageName[] };
    this.network.send(this.identity.name, { ...message, records: entries });
  }

  private sendClosed(records: readonly JournalRecord[], nowMilliseconds: number): void {
    for (const window of new Set(records.map(({ closedWindow }) => closedWindow))) {
      const same = records.filter(({ closedWindow }) => closedWindow === window);
      const number = this.remember(same, [], false, nowMilliseconds);
      const entries = same.map(
        ({ sequence, promptTokens, completionTokens }) =>
          [sequence, promptTokens, completionTokens] as const,
      );
      this.network.send(this.identity.name, { type: 'usage-close', number, window, entries });
    }
  }

  private remember(
    records: readonly JournalRecord[],
    names: readonly number[],
    isWhole: boolean,
    sentMilliseconds: number,
  ): number {
    const number = this.numbers.next();
    this.sent.set(number, {
      sentMilliseconds,
      names,
      isWhole,
      records: records.map(({ sequence, closedWindow }) => [sequence, closedWindow > 0]),
    });
    return number;
  }

  private requeueUnacknowledged(nowMilliseconds: number): void {
    for (const [number, message] of [...this.sent]) {
      if (nowMilliseconds - message.sentMilliseconds >= RESEND_AFTER_MILLISECONDS) {
        this.sent.delete(number);
        message.records.forEach(([sequence]) => this.enqueue(sequence, message.isWhole));
      }
    }
  }
}
