import { SystemClock } from './Clock.js';

import type { Clock } from './Clock.js';

/**
 * Time for which received bytes are processed before the event loop goes on to timers and new
 * connections, of which it accepts one in each turn.
 */
const TURN_MILLISECONDS = 5;

/** Further turns of the event loop after one that took its time, for what else has arrived. */
const FREE_TURNS = 3;

/** Bytes that a turn processes, however long or short its bytes take. */
const MAXIMUM_TURN_BYTES = 65_536;
const MINIMUM_TURN_BYTES = 4096;

/** Smallest portion, so that many waiting readers do not add a turn for each few bytes. */
const MINIMUM_PORTION_BYTES = 2048;

/** Time constant by which the bytes of a reader are forgotten. */
const DECAY_MILLISECONDS = 1000;

/** Order in which the readers of a turn are served. */
export const ReadPriority = {
  /** Before all others: state that decides about requests, from systems that the operator runs. */
  Control: 'control',
  /** By what a reader has read lately. */
  Ordinary: 'ordinary',
} as const;

export type ReadPriority = (typeof ReadPriority)[keyof typeof ReadPriority];

/** One of those that process received bytes in turns. */
export abstract class TurnReader {
  readonly priority: ReadPriority;

  private bytes = 0;

  private atMilliseconds = 0;

  constructor(priority: ReadPriority = ReadPriority.Ordinary) {
    this.priority = priority;
  }

  /** Bytes processed within about the last second. */
  recentBytes(now: number): number {
    return this.bytes * Math.exp((this.atMilliseconds - now) / DECAY_MILLISECONDS);
  }

  recordBytes(bytes: number, now: number): void {
    this.bytes = this.recentBytes(now) + bytes;
    this.atMilliseconds = now;
  }

  /** Bytes that have arrived and wait to be processed. */
  abstract get availableBytes(): number;

  /** Processes a portion of about the given size or smaller. Returns the number of bytes. */
  abstract readPortion(portionBytes: number): number;

  /** Size of the next portion. A small remainder is included, since splitting may cost a copy. */
  protected static sizeOf(availableBytes: number, portionBytes: number): number {
    return availableBytes < 2 * portionBytes ? availableBytes : portionBytes;
  }
}

/**
 * Shares the event loop between those that process received bytes. Each turn of the event loop
 * processes a limited part, first of the readers that have had and need least, so that a peer that always
 * has bytes ready does not delay other connections or timers. Control readers are served in every turn,
 * besides that part, so that a long response of theirs takes few turns however many others wait.
 */
export class ReadTurns {
  private readonly clock: Clock;

  private readonly waiting = new Set<TurnReader>();

  private isScheduled = false;

  private turnBytes = MAXIMUM_TURN_BYTES;

  /** Turns of the event loop before the next one that processes bytes. */
  private freeTurns = 0;

  constructor(clock: Clock = new SystemClock()) {
    this.clock = clock;
  }

  /** Lets a reader process a portion in this turn of the event loop or a later one. */
  request(reader: TurnReader): void {
    this.waiting.add(reader);
    this.schedule();
  }

  /** Withdraws a request. */
  remove(reader: TurnReader): void {
    this.waiting.delete(reader);
  }

  private schedule(): void {
    if (this.isScheduled || this.waiting.size === 0) {
      return;
    }
    this.isScheduled = true;
    this.runAfter(this.freeTurns);
  }

  /** Runs a turn after so many turns of the event loop that process no bytes. */
  private runAfter(freeTurns: number): void {
    if (freeTurns > 0) {
      setImmediate(() => this.runAfter(freeTurns - 1));
      return;
    }
    let processedBytes = 0;
    let startMilliseconds = 0;
    setImmediate(() => {
      this.serveControlReaders(this.clock.monotonicMilliseconds());
      startMilliseconds = this.clock.monotonicMilliseconds();
      processedBytes = this.runTurn(startMilliseconds);
    });
    // Runs after the promises and ticks that the portions have led to.
    setImmediate(() => {
      this.adapt(processedBytes, this.clock.monotonicMilliseconds() - startMilliseconds);
      this.isScheduled = false;
      this.schedule();
    });
  }

  private waitingWith(wanted: ReadPriority): TurnReader[] {
    return [...this.waiting].filter(({ priority }) => priority === wanted);
  }

  private serveControlReaders(now: number): void {
    const readers = this.waitingWith(ReadPriority.Control);
    for (const reader of readers) {
      this.serve(reader, Math.floor(MAXIMUM_TURN_BYTES / readers.length), now);
    }
  }

  /** Returns the number of bytes that the reader has processed. */
  private serve(reader: TurnReader, portionBytes: number, now: number): number {
    // A reader may be removed while another one is served.
    if (!this.waiting.delete(reader)) {
      return 0;
    }
    const bytes = reader.readPortion(portionBytes);
    reader.recordBytes(bytes, now);
    return bytes;
  }

  /** Serves each reader at most once, since its promises run only after the turn. */
  private runTurn(now: number): number {
    // Control readers that have more to read wait for the next turn.
    const waiting = this.waitingWith(ReadPriority.Ordinary);
    const share = Math.floor(this.turnBytes / Math.max(1, waiting.length));
    const portionBytes = Math.max(MINIMUM_PORTION_BYTES, share);
    const readers = waiting
      .map((reader) => ({
        reader,
        // A short part goes before the first long one of a new connection.
        bytes: reader.recentBytes(now) + Math.min(reader.availableBytes, portionBytes),
      }))
      .sort((left, right) => left.bytes - right.bytes);
    let processedBytes = 0;
    for (const { reader } of readers) {
      if (processedBytes >= this.turnBytes) {
        break;
      }
      processedBytes += this.serve(reader, portionBytes, now);
    }
    return processedBytes;
  }

  /** Sets the size of the next turn so that it takes about its time at the speed of this one. */
  private adapt(processedBytes: number, milliseconds: number): void {
    this.freeTurns = milliseconds >= TURN_MILLISECONDS / 2 ? FREE_TURNS : 0;
    if (processedBytes >= this.turnBytes || milliseconds > TURN_MILLISECONDS) {
      const bytes = processedBytes * (TURN_MILLISECONDS / Math.max(milliseconds, 0.01));
      this.turnBytes = Math.min(MAXIMUM_TURN_BYTES, Math.max(MINIMUM_TURN_BYTES, bytes));
    }
  }
}

/** The turns of the event loop of this process, which all its connections share. */
export const eventLoopTurns = new ReadTurns();

/** Lets a task process bytes that it has received, in turn with others. */
export class TurnGate extends TurnReader {
  private readonly turns: ReadTurns;

  private waitingBytes = 0;

  private enter: (bytes: number) => void = () => {};

  constructor(turns: ReadTurns = eventLoopTurns) {
    super();
    this.turns = turns;
  }

  /** Resolves with the number of bytes that may be processed now, of those that are available. */
  wait(availableBytes: number): Promise<number> {
    this.waitingBytes = availableBytes;
    return new Promise((resolve) => {
      this.enter = resolve;
      this.turns.request(this);
    });
  }

  override get availableBytes(): number {
    return this.waitingBytes;
  }

  override readPortion(portionBytes: number): number {
    const bytes = TurnReader.sizeOf(this.waitingBytes, portionBytes);
    this.enter(bytes);
    return bytes;
  }
}
