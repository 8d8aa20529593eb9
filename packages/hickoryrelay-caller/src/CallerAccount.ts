import type { CallerMemory } from './CallerMemory.js';

/** What the process waits for on a connection. */
export const CallerPhase = {
  /** For a request, or for the rest of its head. */
  Idle: 'idle',
  /** For the rest of a body. */
  Reading: 'reading',
  /** For the caller to read a response. */
  Writing: 'writing',
  /** For an endpoint, not for the caller. */
  Handling: 'handling',
} as const;

export type CallerPhase = (typeof CallerPhase)[keyof typeof CallerPhase];

/** Memory that one thing on a connection holds. It is released once. */
export class Holding {
  private readonly account: CallerAccount;

  private bytes = 0;

  private isReleased = false;

  constructor(account: CallerAccount) {
    this.account = account;
  }

  get heldBytes(): number {
    return this.bytes;
  }

  /** Sets what is held. Has no effect once it has been released. */
  resize(bytes: number): void {
    if (!this.isReleased && bytes !== this.bytes) {
      const difference = bytes - this.bytes;
      this.bytes = bytes;
      this.account.add(difference);
    }
  }

  /** Releases what is held. Further calls have no effect. */
  release(): void {
    this.resize(0);
    this.isReleased = true;
  }
}

/** Memory that one request holds, from its head until its response has been written out. */
export class RequestHolding extends Holding {
  private readonly end: () => void;

  private hasEnded = false;

  constructor(account: CallerAccount, end: () => void) {
    super(account);
    this.end = end;
  }

  override release(): void {
    super.release();
    if (!this.hasEnded) {
      this.hasEnded = true;
      this.end();
    }
  }
}

/** What the connection of one caller holds. */
export class CallerAccount {
  private readonly memory: CallerMemory;

  private readonly holdings = new Set<Holding>();

  /** Bytes that have been received and not been parsed to the end, or that the caller has not read. */
  private readonly buffers: Holding;

  private held = 0;

  private openRequestCount = 0;

  private isOpen = true;

  /** Bytes of responses that wait for the caller to read, or for their end. */
  private unsent = 0;

  /** Those that wait for the caller. */
  private unread = 0;

  private buffered = 0;

  private parsing = 0;

  /** When the body that is being read began; undefined if none is. */
  readingSinceMilliseconds: number | undefined;

  /** When the caller last sent or read a worthwhile part, or its request ended. */
  progressMilliseconds: number;

  private waitsForMemory = false;

  constructor(memory: CallerMemory, now: number, costBytes: number) {
    this.memory = memory;
    this.progressMilliseconds = now;
    const connection = new Holding(this);
    this.buffers = new Holding(this);
    this.holdings.add(connection).add(this.buffers);
    connection.resize(costBytes);
  }

  get heldBytes(): number {
    return this.held;
  }

  get openRequests(): number {
    return this.openRequestCount;
  }

  get phase(): CallerPhase {
    if (this.readingSinceMilliseconds !== undefined) {
      return CallerPhase.Reading;
    }
    if (this.unread > 0) {
      return CallerPhase.Writing;
    }
    return this.openRequestCount > 0 ? CallerPhase.Handling : CallerPhase.Idle;
  }

  /** True while nothing is read of the connection because all together hold too much. */
  get isWaitingForMemory(): boolean {
    return this.waitsForMemory;
  }

  /** The time in which nothing is read is not counted as one without progress. */
  setWaitingForMemory(isWaiting: boolean, now: number): void {
    if (this.waitsForMemory && !isWaiting) {
      this.progressMilliseconds = now;
    }
    this.waitsForMemory = isWaiting;
  }

  /** Records a request whose head has been read. */
  beginRequest(bytes: number): RequestHolding {
    const holding = new RequestHolding(this, () => {
      this.holdings.delete(holding);
      this.openRequestCount -= 1;
      this.memory.addRequests(-1);
    });
    if (!this.isOpen) {
      // A closed connection holds nothing.
      this.openRequestCount += 1;
      this.memory.addRequests(1);
      holding.release();
      return holding;
    }
    this.holdings.add(holding);
    this.openRequestCount += 1;
    this.memory.addRequests(1);
    holding.resize(bytes);
    return holding;
  }

  /** Sets the bytes that have been received and not been parsed. */
  setBuffered(bytes: number): void {
    this.buffered = bytes;
    this.resizeBuffers();
  }

  /** Sets what the parser holds of an incomplete head or incomplete trailers. */
  setParsing(bytes: number): void {
    this.parsing = bytes;
    this.resizeBuffers();
  }

  /** Sets the bytes that wait for the caller to read, or for the end of a response, and those for the caller. */
  setUnsent(bytes: number, unreadBytes = bytes): void {
    this.unsent = bytes;
    this.unread = unreadBytes;
    this.resizeBuffers();
  }

  /** Adds to what is held. Called by holdings. */
  add(bytes: number): void {
    this.held += bytes;
    this.memory.addBytes(bytes);
  }

  /** Releases everything, once the connection has closed. Further calls have no effect. */
  close(): void {
    if (this.isOpen) {
      this.isOpen = false;
      [...this.holdings].forEach((holding) => holding.release());
      this.memory.remove(this);
    }
  }

  private resizeBuffers(): void {
    this.buffers.resize(this.buffered + this.parsing + this.unsent);
  }
}
