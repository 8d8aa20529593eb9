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

/** An engine that gave no count for this time is not asked again; the progress is counted. */
const ENGINE_PATIENCE_MILLISECONDS = 60_000;

/** Longest part of one statement, so that a message stays small; the rest goes in later windows. */
const STATEMENT_RECORDS = 2000;

/** A record of another instance. */
interface HeldRecord {
  readonly sequence: number;
  readonly requestIdentifier: string;
  readonly account: string;
  readonly className: string;
  readonly subject: string;
  readonly endpoint: string;
  promptTokens: number;
  completionTokens: number;
  closedWindow: number;
  /** False once this instance has closed the record with the engine's figure. */
  isOwnFigure: boolean;
  /** Time of the engine's last count, or of the first question, on the monotonic clock. */
  engineSinceMilliseconds?: number;
}

type OpenMessage = Extract<PeerMessage, { type: 'usage-open' }>;
type CloseMessage = Extract<PeerMessage, { type: 'usage-close' }>;
type ProgressMessage = Extract<PeerMessage, { type: 'usage-progress' }>;

/** The records of one incarnation of another instance. */
class HeldJournal {
  readonly identity: InstanceIdentity;

  readonly records = new Map<number, HeldRecord>();

  /** Time at which the incarnation was first seen dead, on the monotonic clock. */
  deadSinceMilliseconds: number | undefined;

  private counted = new CountedSequences();

  private readonly names = new Map<number, string>();

  constructor(identity: InstanceIdentity) {
    this.identity = identity;
  }

  /** Takes records. Returns false if a name is missing, so that they must be sent again. */
  open(message: OpenMessage): boolean {
    message.names.forEach(([index, name]) => this.names.set(index, name));
    return message.records.every((entry) => this.take(entry));
  }

  /** Takes final figures. Returns false if a record is missing. */
  close(message: CloseMessage): boolean {
    const closedWindow = message.window;
    return message.entries.every(([sequence, promptTokens, completionTokens]) => {
      const record = this.records.get(sequence);
      if (record !== undefined) {
        Object.assign(record, { promptTokens, completionTokens, closedWindow, isOwnFigure: true });
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

  private take(entry: UsageRecordEntry): boolean {
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
    // A message that was delayed or repeated must not reopen a record.
    const isOutdated = previous?.isOwnFigure === true && previous.closedWindow > 0;
    if (!this.counted.has(sequence) && !isOutdated) {
      this.records.set(sequence, {
        ...{ sequence, requestIdentifier, account, className, subject, endpoint },
        promptTokens: promptTokens ?? 0,
        completionTokens: Math.max(completionTokens ?? 0, previous?.completionTokens ?? 0),
        closedWindow: closedWindow ?? 0,
        isOwnFigure: true,
      });
    }
    return true;
  }
}

/** Records of other instances, held until they are sealed. Closes those of dead instances. */
export class UsageReplica {
  private readonly clock: Clock;

  private readonly liveness: InstanceLiveness;

  private readonly engines: EngineUsageSource;

  private readonly log: ComponentLogger;

  private readonly journals = new Map<string, HeldJournal>();

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

  /** Number of records held. */
  get size(): number {
    return [...this.journals.values()].reduce((sum, journal) => sum + journal.records.size, 0);
  }

  /** Tells whether the final figure of a record, by its own instance, is held here. */
  holdsClosed(incarnation: string, sequence: number): boolean {
    const record = this.journals.get(incarnation)?.records.get(sequence);
    return record !== undefined && record.closedWindow > 0 && record.isOwnFigure;
  }

  /** Takes what an instance sent about its records. Returns whether it is to be acknowledged. */
  take(from: InstanceIdentity, message: OpenMessage | CloseMessage | ProgressMessage): boolean {
    const journal = this.journals.get(from.incarnation) ?? new HeldJournal(from);
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

  /** Drops the records of an incarnation that are sealed. */
  drop(incarnation: string, counted: CountedSequences): void {
    this.journals.get(incarnation)?.drop(counted);
  }

  /** Closes open records of dead incarnations with the figures of the engines. */
  async closeAbandoned(): Promise<void> {
    for (const journal of this.journals.values()) {
      if (this.liveness.isDead(journal.identity.incarnation)) {
        journal.deadSinceMilliseconds ??= this.clock.monotonicMilliseconds();
        const open = [...journal.records.values()].filter((each) => each.closedWindow === 0);
        await Promise.all(open.map((record) => this.closeByEngine(journal, record)));
      } else {
        journal.deadSinceMilliseconds = undefined;
      }
    }
  }

  /** Closed records of dead incarnations of a zone, up to a window. */
  statement(zone: string, window: number): (readonly [string, readonly AdoptedRecordEntry[]])[] {
    let room = STATEMENT_RECORDS;
    const adopted: (readonly [string, readonly AdoptedRecordEntry[]])[] = [];
    for (const { identity, records } of this.journals.values()) {
      const { incarnation } = identity;
      if (identity.zone === zone && this.liveness.isDead(incarnation)) {
        const entries = [...records.values()]
          .filter(({ closedWindow }) => closedWindow > 0 && closedWindow <= window)
          .slice(0, room)
          .map(UsageReplica.entryOf);
        room -= entries.length;
        if (entries.length > 0) {
          adopted.push([incarnation, entries]);
        }
      }
    }
    return adopted;
  }

  private static entryOf(this: void, record: HeldRecord): AdoptedRecordEntry {
    return [
      record.sequence,
      record.account,
      record.className,
      record.subject,
      record.promptTokens,
      record.completionTokens,
      record.closedWindow,
      record.isOwnFigure,
    ];
  }

  private async closeByEngine(journal: HeldJournal, record: HeldRecord): Promise<void> {
    const count = await this.ask(record);
    const now = this.clock.monotonicMilliseconds();
    // Starts with the last count: the engine of an instance dead for long may have failed just now.
    if (count !== undefined || record.engineSinceMilliseconds === undefined) {
      Object.assign(record, { engineSinceMilliseconds: now });
    }
    const { deadSinceMilliseconds: deadSince = 0 } = journal;
    const waited = now - Math.max(deadSince, record.engineSinceMilliseconds ?? now);
    // The instance may have closed the record, or sent it again, while the engine was asked.
    if (journal.records.get(record.sequence) !== record || record.closedWindow > 0) {
      return;
    }
    // A request that still runs may belong to an instance that is only cut off.
    const isRunning = count !== undefined && !count.isFinished;
    if (isRunning || (count === undefined && waited < ENGINE_PATIENCE_MILLISECONDS)) {
      return;
    }
    const promptTokens = count?.promptTokens ?? record.promptTokens;
    const completionTokens = Math.max(count?.completionTokens ?? 0, record.completionTokens);
    const closedWindow = windowAt(this.clock.wallMilliseconds());
    const isOwnFigure = false;
    Object.assign(record, { promptTokens, completionTokens, closedWindow, isOwnFigure });
  }

  private async ask(record: HeldRecord) {
    try {
      return await this.engines.count(record.endpoint, record.requestIdentifier);
    } catch (error) {
      this.log.warn('An engine did not tell its count of a request.', {
        endpoint: record.endpoint,
        reason: describeFailure(failureOf(error)),
      });
      return undefined;
    }
  }
}
