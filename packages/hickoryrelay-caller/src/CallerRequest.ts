import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { BodyBuffer } from './BodyBuffer.js';
import { REQUEST_COST_BYTES } from './CallerLimits.js';
import { headBytesOf, releaseHead, trailerBytesOf } from './HeadMemory.js';
import { RefusalReason } from './RefusalReason.js';
import { WaitingRequest } from './RequestSlots.js';

import type { CallerAccount, RequestHolding } from './CallerAccount.js';
import type { RequestSlots } from './RequestSlots.js';
import type { CallerConnection } from 'hickoryrelay/CallerConnection';
import type { IncomingMessage, ServerResponse } from 'node:http';

const RETRY_AFTER_SECONDS = 1;

function lengthOf({ headers }: IncomingMessage): number | undefined {
  const text = headers['content-length'];
  return text === undefined ? undefined : Number(text);
}

/** Constructor arguments of `CallerRequest`. */
export interface CallerRequestParts {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  /** Undefined if it has closed. */
  readonly connection: CallerConnection | undefined;
  readonly account: CallerAccount;
  readonly slots: RequestSlots;
  /** When the head was read. */
  readonly now: number;
  readonly recordRefusal: (reason: RefusalReason) => void;
}

/** One request of a caller, and what it holds until its response has been written out. */
export class CallerRequest extends WaitingRequest {
  /** Length of the body if the caller has announced it. */
  readonly announcedBytes: number | undefined;

  private readonly message: IncomingMessage;

  private readonly response: ServerResponse;

  private readonly connection: CallerConnection | undefined;

  override readonly account: CallerAccount;

  private readonly slots: RequestSlots;

  private readonly recordRefusal: (reason: RefusalReason) => void;

  private readonly holding: RequestHolding;

  private baseBytes: number;

  private readonly body = new BodyBuffer();

  private resolve: ((body: Buffer) => void) | undefined;

  private reject: ((error: RelayError) => void) | undefined;

  private hasFailed = false;

  private isRunning = false;

  private hasClosed = false;

  constructor(parts: CallerRequestParts) {
    const { message, response, connection, account, slots, now, recordRefusal } = parts;
    super();
    this.connection = connection;
    this.slots = slots;
    this.recordRefusal = recordRefusal;
    this.message = message;
    this.response = response;
    this.account = account;
    this.announcedBytes = lengthOf(message);
    this.baseBytes = REQUEST_COST_BYTES + headBytesOf(message);
    this.holding = account.beginRequest(this.baseBytes);
    this.account.readingSinceMilliseconds = now;
    response.once('close', () => this.close());
  }

  /** Adds the memory of what has been decoded from the head, until the request ends. */
  addDecoded(bytes: number): void {
    this.holding.resize(this.holding.heldBytes + bytes);
  }

  /** True until the body has been parsed or the request has failed. */
  get isReading(): boolean {
    return !this.message.complete && !this.hasFailed;
  }

  /** Bytes of the body that have not been parsed yet; undefined if its length is not known. */
  get missingBytes(): number | undefined {
    return this.announcedBytes === undefined
      ? undefined
      : this.announcedBytes - this.body.length - this.message.readableLength;
  }

  /** Bytes of the body that have been parsed. */
  get receivedBytes(): number {
    return this.body.length + this.message.readableLength;
  }

  /**
   * Reads the whole body, and resolves once the request may run. Rejects with `request-too-large`, with the failure that is passed to `fail`, or with
   * `cancelled` if the caller has left.
   */
  read(limitBytes: number): Promise<Buffer> {
    return new Promise((resolve, reject) => {
      const { message, body } = this;
      this.resolve = resolve;
      this.reject = reject;
      const tooLarge = () =>
        new RelayError({ kind: FailureKind.RequestTooLarge, part: 'body', limitBytes });
      if ((this.announcedBytes ?? 0) > limitBytes) {
        this.recordRefusal(RefusalReason.BodySize);
        this.fail(tooLarge());
        return;
      }
      message.on('error', (error) => {
        this.fail(
          new RelayError({ kind: FailureKind.Cancelled, reason: 'the caller disconnected' }, error),
        );
      });
      message.on('data', (chunk: Buffer) => {
        if (this.hasFailed) {
          return;
        }
        if (body.length + chunk.length > limitBytes) {
          this.recordRefusal(RefusalReason.BodySize);
          this.fail(tooLarge());
          return;
        }
        body.append(chunk);
        this.holding.resize(this.baseBytes + body.heldBytes);
      });
      message.on('end', () => {
        if (!this.hasFailed && !this.hasClosed) {
          this.baseBytes += trailerBytesOf(message);
          this.holding.resize(this.baseBytes + body.heldBytes);
          this.slots.enter(this);
        }
      });
    });
  }

  /**
   * Ends the reading of the body with a failure, unless it has been read whole. The connection closes after
   * the response.
   */
  fail(error: RelayError): boolean {
    if (this.hasFailed || this.reject === undefined) {
      return false;
    }
    this.hasFailed = true;
    this.account.readingSinceMilliseconds = undefined;
    this.body.clear();
    this.holding.resize(this.baseBytes);
    this.response.shouldKeepAlive = false;
    this.reject(error);
    return true;
  }

  override run(): void {
    // A request before it may have been refused after this one was read.
    if (this.hasClosed || this.connection?.closesBefore(this.response) === true) {
      this.slots.release(this.account);
      return;
    }
    this.isRunning = true;
    const whole = this.body.take();
    this.holding.resize(this.baseBytes + whole.length);
    this.reject = undefined;
    this.resolve?.(whole);
  }

  override refuse(): void {
    this.recordRefusal(RefusalReason.Requests);
    this.fail(
      new RelayError({
        kind: FailureKind.Overloaded,
        reason: 'too many requests run',
        retryAfterSeconds: RETRY_AFTER_SECONDS,
      }),
    );
  }

  private close(): void {
    this.hasClosed = true;
    this.body.clear();
    if (!this.message.complete) {
      releaseHead(this.message);
    }
    this.holding.release();
    if (this.isRunning) {
      this.isRunning = false;
      this.slots.release(this.account);
    }
  }
}
