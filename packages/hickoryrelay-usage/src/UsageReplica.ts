import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { CountedSequences } from './CountedSequences.js';
import { decodeIdentifier } from './RequestIdentifierCodec.js';
import { windowAt } from './UsageWindow.js';

import type { EngineUsageSource } from './EngineUsageSource.js';
import type { InstanceLiveness } from './InstanceLiveness.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type {
  AdoptedRecordEntry,
  InstanceIdentity,
  PeerMessage,
  UsageRecordEntry,
} from 'hickoryrelay-link/PeerMessages';

/** After this time without an engine count, a record is closed with its last progress. */
const ENGINE_COUNT_TIMEOUT_MILLISECONDS = 60_000;

/** Limits the size of the message; further records are stated in later windows. */
const MAX_STATEMENT_RECORDS = 2000;

/** A usage record of another instance. */
interface ReplicatedRecord {
  readonly sequence: number;
  readonly requestIdentifier: string;
  readonly account: string;
  readonly className: string;
  readonly subject: string;
  readonly endpoint: string;
  promptTokens: number;
  completionTokens: number;
  closedWindow: number;
  /** False once this instance has closed the record with the engine's count. */
  isFromOwner: boolean;
  /** Time of the engine's last count, or of the first query, on the monotonic clock. */
  lastEngineCountMilliseconds?: number;
}

type OpenMessage = Extract<PeerMessage, { type: 'usage-open' }>;
type CloseMessage = Extract<PeerMessage, { type: 'usage-close' }>;
type ProgressMessage = Extract<PeerMessage, { type: 'usage-progress' }>;

/** The records of one incarnation of another instance. */
class ReplicatedJournal {
  readonly identity: InstanceIdentity;

  readonly records = new Map<number, ReplicatedRecord>();

  /** Time at which the incarnation was first considered dead, on the monotonic clock. */
  deadSinceMilliseconds: number | undefined;

  private counted = new CountedSequences();

  private readonly names = new Map<number, string>();

  constructor(identity: InstanceIdentity) {
    this.identity = identity;
  }

  /** Stores records. Returns false if a name is missing, so that they must be sent again. */
  open(message: OpenMessage): boolean {
    message.names.forEach(([index, name]) => this.names.set(index, name));
    return message.records.every((entry) => this.storeRecord(entry));
  }

  /** Stores final token counts. Returns false if a record is missing. */
  close(message: CloseMessage): boolean {
    const closedWindow = message.window;
    return message.entries.every(([sequence, promptTokens, completionTokens]) => {
      const record = this.records.get(sequence);
      if (record !== undefined) {
        Object.assign(record, { promptTokens, completionTokens, closedWindow, isFromOwner: true });
      }
      return record !== undefined || this.counted.has(sequence);
    });
  }

  progress(message: ProgressMessage): void {
    for (const [sequence, completionTokens] of message.entries) {
      const record = this.records.get(sequence);
      if (record?.closedWindow === 0) {
        record.completionTokens = Math.max(record.completionTokens, completionTokens);
      }
    }
    if (message.counted !== undefined) {
      this.drop(CountedSequences.from(message.counted));
    }
  }

  drop(counted: CountedSequences): void {
    this.counted = counted;
    for (const sequence of [...this.records.keys()]) {
      if (counted.has(sequence)) {
        this.records.delete(sequence);
      }
    }
  }

  private storeRecord(entry: UsageRecordEntry): boolean {
    const sequence = entry[0];
    const requestIdentifier = decodeIdentifier(entry[1]);
    const [account, className, subject, endpoint] = entry
      .slice(2, 6)
      .map((index) => this.names.get(Number(index)));
    const [promptTokens, completionTokens, closedWindow] = entry.slice(6).map(Number);
    const isComplete =
      account !== undefined &&
      className !== undefined &&
      subject !== undefined &&
      endpoint !== undefined;
    if (!isComplete) {
      return false;
    }
    const previous = this.records.get(sequence);
    // A delayed or duplicated message must not reopen a record.
    const isOutdated = previous?.isFromOwner === true && previous.closedWindow > 0;
    if (!this.counted.has(sequence) && !isOutdated) {
      this.records.set(sequence, {
        ...{ sequence, requestIdentifier, account, className, subject, endpoint },
        promptTokens: promptTokens ?? 0,
        completionTokens: Math.max(completionTokens ?? 0, previous?.completionTokens ?? 0),
        closedWindow: closedWindow ?? 0,
        isFromOwner: true,
      });
    }
    return true;
  }
}

/** Stores records of other instances until they are sealed. Closes those of dead instances. */
export class UsageReplica {
  private readonly clock: Clock;

  private readonly liveness: InstanceLiveness;

  private readonly engines: EngineUsageSource;

  private readonly log: ComponentLogger;

  private readonly journals = new Map<string, ReplicatedJournal>();

  constructor(
    clock: Clock,
    liveness: InstanceLiveness,
    engines: EngineUsageSource,
    log: ComponentLogger,
  ) {
    this.clock = clock;
    this.liveness = liveness;
    this.engines = engines;
    this.log = log;
  }

  /** Number of stored records. */
  get size(): number {
    return [...this.journals.values()].reduce((sum, journal) => sum + journal.records.size, 0);
  }

  /** Whether the final token counts of a record, by its own instance, are stored here. */
  hasFinalCounts(incarnation: string, sequence: number): boolean {
    const record = this.journals.get(incarnation)?.records.get(sequence);
    return record !== undefined && record.closedWindow > 0 && record.isFromOwner;
  }

  /** Applies a message about records of its sender. Returns whether to acknowledge it. */
  receive(from: InstanceIdentity, message: OpenMessage | CloseMessage | ProgressMessage): boolean {
    const journal = this.journals.get(from.incarnation) ?? new ReplicatedJournal(from);
    this.journals.set(from.incarnation, journal);
    switch (message.type) {
      case 'usage-open':
        return journal.open(message);
      case 'usage-close':
        return journal.close(message);
      default:
        journal.progress(message);
        return false;
    }
  }

  /** Drops the sealed records of an incarnation. */
  drop(incarnation: string, counted: CountedSequences): void {
    this.journals.get(incarnation)?.drop(counted);
  }

  /** Closes open records of dead incarnations with the token counts of the engines. */
  async closeOrphanedRecords(): Promise<void> {
    for (const journal of this.journals.values()) {
      if (this.liveness.isDead(journal.identity.incarnation)) {
        journal.deadSinceMilliseconds ??= this.clock.monotonicMilliseconds();
        const open = [...journal.records.values()].filter((each) => each.closedWindow === 0);
        await Promise.all(open.map((record) => this.closeFromEngineCount(journal, record)));
      } else {
        journal.deadSinceMilliseconds = undefined;
      }
    }
  }

  /** Closed records of dead incarnations of a zone, up to and including a window. */
  statement(zone: string, window: number): (readonly [string, readonly AdoptedRecordEntry[]])[] {
    let remaining = MAX_STATEMENT_RECORDS;
    const adopted: (readonly [string, readonly AdoptedRecordEntry[]])[] = [];
    for (const { identity, records } of this.journals.values()) {
      const { incarnation } = identity;
      if (identity.zone === zone && this.liveness.isDead(incarnation)) {
        const entries = [...records.values()]
          .filter(({ closedWindow }) => closedWindow > 0 && closedWindow <= window)
          .slice(0, remaining)
          .map(UsageReplica.toAdoptedEntry);
        remaining -= entries.length;
        if (entries.length > 0) {
          adopted.push([incarnation, entries]);
        }
      }
    }
    return adopted;
  }

  private static toAdoptedEntry(this: void, record: ReplicatedRecord): AdoptedRecordEntry {
    return [
      record.sequence,
      record.account,
      record.className,
      record.subject,
      record.promptTokens,
      record.completionTokens,
      record.closedWindow,
      record.isFromOwner,
    ];
  }

  private async closeFromEngineCount(
    journal: ReplicatedJournal,
    record: ReplicatedRecord,
  ): Promise<void> {
    const count = await this.fetchEngineCount(record);
    const now = this.clock.monotonicMilliseconds();
    // The timeout starts at the last count: an engine may fail long after the instance died.
    if (count !== undefined || record.lastEngineCountMilliseconds === undefined) {
      Object.assign(record, { lastEngineCountMilliseconds: now });
    }
    const { deadSinceMilliseconds = 0 } = journal;
    const elapsed =
      now - Math.max(deadSinceMilliseconds, record.lastEngineCountMilliseconds ?? now);
    // The instance may have closed the record, or sent it again, during the query.
    if (journal.records.get(record.sequence) !== record || record.closedWindow > 0) {
      return;
    }
    // A request that still runs may belong to an instance that is only partitioned.
    const isRunning = count !== undefined && !count.isFinished;
    if (isRunning || (count === undefined && elapsed < ENGINE_COUNT_TIMEOUT_MILLISECONDS)) {
      return;
    }
    const promptTokens = count?.promptTokens ?? record.promptTokens;
    const completionTokens = Math.max(count?.completionTokens ?? 0, record.completionTokens);
    const closedWindow = windowAt(this.clock.wallMilliseconds());
    const isFromOwner = false;
    Object.assign(record, { promptTokens, completionTokens, closedWindow, isFromOwner });
  }

  private async fetchEngineCount(record: ReplicatedRecord) {
    try {
      return await this.engines.count(record.endpoint, record.requestIdentifier);
    } catch (error) {
      this.log.warn('Could not read the usage of a request from its engine.', {
        endpoint: record.endpoint,
        reason: describeFailure(failureOf(error)),
      });
      return undefined;
    }
  }
}
