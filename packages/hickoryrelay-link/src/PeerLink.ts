import { FailureKind } from 'hickoryrelay/Failure';
import { invariant } from 'hickoryrelay/Invariant';
import { failureOf, RelayError } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import { QueueOutcome } from './MessageQueue.js';
import { MAXIMUM_QUEUED_BYTES } from './PeerConnection.js';
import { decodePeerMessage, encodePeerMessage } from './PeerMessageCodec.js';
import { PeerMessageType } from './PeerMessages.js';

import type { PeerConnection } from './PeerConnection.js';
import type { InstanceIdentity, PeerMessage, ReceivedPeerMessage } from './PeerMessages.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { Failure } from 'hickoryrelay/Failure';
import type { TaskContext } from 'hickoryrelay/Task';

export const HEARTBEAT_MILLISECONDS = 1000;

/** A link that has been silent for this long is dead: three heartbeats in a row are missing. */
export const SILENCE_MILLISECONDS = 3000;

/** The peer echoes with its next heartbeat, so a proof takes one interval and a round trip. */
const PROOF_MILLISECONDS = 2000;

/** What an instance says about its configuration in each heartbeat. */
export interface PeerStatement {
  readonly revision: number;
  readonly viewAgeMilliseconds: number;
}

/** What a link needs of the instance that it belongs to. */
export abstract class PeerLinkOwner {
  abstract readonly identity: InstanceIdentity;

  abstract readonly peersUrl: string;

  abstract statement(): PeerStatement;

  /** Decides whether the link is kept, once the peer has said who it is. */
  abstract admit(link: PeerLink): boolean;

  /** Passes a message on. Returns false if a consumer does not keep up. */
  abstract deliver(received: ReceivedPeerMessage): boolean;

  /** Told once when the link has ended; the failure is undefined if this instance ended it. */
  abstract onEnded(link: PeerLink, failure: Failure | undefined): void;
}

/** One connection to another entry instance, from the greeting to its end. */
export class PeerLink extends Task {
  /** Whether this instance opened the connection. */
  readonly isOpener: boolean;

  /** When the link was made, on the monotonic clock. */
  readonly openedMilliseconds: number;

  private readonly owner: PeerLinkOwner;

  private readonly connection: PeerConnection;

  private readonly expectedName: string | undefined;

  private peerIdentity: InstanceIdentity | undefined;

  private peerUrl = '';

  private sentSequence = 0;

  private echoedSequence = 0;

  private receivedSequence = 0;

  private provingSequence = 0;

  private provingSinceMilliseconds = 0;

  private readonly sentMilliseconds = new Map<number, number>();

  private cutReason: Failure | undefined;

  constructor(
    owner: PeerLinkOwner,
    connection: PeerConnection,
    clock: Clock,
    expectedName?: string,
  ) {
    super();
    this.owner = owner;
    this.connection = connection;
    this.expectedName = expectedName;
    this.isOpener = expectedName !== undefined;
    this.openedMilliseconds = clock.monotonicMilliseconds();
  }

  override get name(): string {
    return `peer link ${this.peerIdentity?.name ?? this.expectedName ?? '(accepted)'}`;
  }

  /** Who is at the other end. Known once the link has been offered to `admit`. */
  get peer(): InstanceIdentity {
    invariant(this.peerIdentity !== undefined, 'the peer has not said who it is');
    return this.peerIdentity;
  }

  /** URL of the peer's own interface. */
  get peersUrl(): string {
    return this.peerUrl;
  }

  /** Name of the instance that opened the connection. */
  get openerName(): string {
    return this.isOpener ? this.owner.identity.name : this.peer.name;
  }

  /** False while the link has to be proved anew. */
  get isProved(): boolean {
    return this.echoedSequence >= this.provingSequence;
  }

  /** Sends a message. Cuts the link if the peer has stopped reading. */
  send(message: PeerMessage): boolean {
    const bytes = encodePeerMessage(message, this.peerIdentity);
    if (this.connection.queuedBytes + bytes.length > MAXIMUM_QUEUED_BYTES) {
      const reason = `peer ${this.name} does not read`;
      this.cut({ kind: FailureKind.Overloaded, reason, retryAfterSeconds: 1 });
      return false;
    }
    this.connection.send(bytes);
    return true;
  }

  /** Ends the link from this side. */
  cut(reason: Failure): void {
    this.cutReason ??= reason;
    this.connection.terminate();
  }

  /** Takes the link out of use until the peer has answered a heartbeat that is sent now. */
  requireProof(clock: Clock): void {
    if (this.isProved) {
      this.provingSequence = this.sentSequence + 1;
      this.provingSinceMilliseconds = clock.monotonicMilliseconds();
      this.sendHeartbeat(clock);
    }
  }

  protected override async *steps(context: TaskContext): AsyncGenerator<void, void, void> {
    let failure: Failure | undefined;
    try {
      const greeting = await this.greet(context);
      if (!this.owner.admit(this)) {
        return;
      }
      this.owner.deliver({ from: this.peer, message: greeting });
      yield;
      yield* this.converse(context);
    } catch (error) {
      failure = this.cutReason ?? failureOf(error);
    } finally {
      this.connection.terminate();
      this.owner.onEnded(this, context.signal.aborted ? undefined : (failure ?? this.cutReason));
    }
  }

  private async greet({ clock, signal }: TaskContext): Promise<PeerMessage> {
    if (this.isOpener) {
      this.sendHello();
    }
    const bytes = await this.connection.received.next(clock, SILENCE_MILLISECONDS, signal);
    if (typeof bytes === 'string') {
      throw this.lost(`no greeting: ${bytes}`);
    }
    const message = decodePeerMessage(bytes, this.name, this.owner.identity);
    if (message.type !== PeerMessageType.Hello) {
      throw this.violation(`expected a greeting, received "${message.type}"`);
    }
    const isExpected =
      this.expectedName === undefined || message.identity.name === this.expectedName;
    if (!isExpected || message.identity.name === this.owner.identity.name) {
      throw this.violation(`unexpected peer "${message.identity.name}"`);
    }
    this.peerIdentity = message.identity;
    this.peerUrl = message.peersUrl;
    if (!this.isOpener) {
      this.sendHello();
    }
    return message;
  }

  private async *converse({ clock, signal }: TaskContext): AsyncGenerator<void, void, void> {
    let heardMilliseconds = clock.monotonicMilliseconds();
    let nextBeatMilliseconds = heardMilliseconds;
    for (;;) {
      const now = clock.monotonicMilliseconds();
      if (now >= nextBeatMilliseconds) {
        this.assertAlive(now, heardMilliseconds);
        this.sendHeartbeat(clock);
        nextBeatMilliseconds = now + HEARTBEAT_MILLISECONDS;
      }
      const waitMilliseconds = nextBeatMilliseconds - now;
      const bytes = await this.connection.received.next(clock, waitMilliseconds, signal);
      if (bytes === QueueOutcome.Closed) {
        throw this.lost('the connection ended');
      }
      if (bytes !== QueueOutcome.TimedOut) {
        heardMilliseconds = clock.monotonicMilliseconds();
        this.receive(decodePeerMessage(bytes, this.name, this.owner.identity));
      }
      yield;
    }
  }

  private assertAlive(now: number, heardMilliseconds: number): void {
    if (now - heardMilliseconds >= SILENCE_MILLISECONDS) {
      throw this.silent();
    }
    if (!this.isProved && now - this.provingSinceMilliseconds >= PROOF_MILLISECONDS) {
      throw this.silent();
    }
  }

  private receive(message: PeerMessage): void {
    if (message.type === PeerMessageType.Hello) {
      throw this.violation('a second greeting');
    }
    const askedMilliseconds =
      message.type === PeerMessageType.Heartbeat ? this.takeEcho(message) : undefined;
    const received = {
      from: this.peer,
      message,
      ...(askedMilliseconds !== undefined && { askedMilliseconds }),
    };
    if (!this.owner.deliver(received)) {
      throw new RelayError({
        kind: FailureKind.Overloaded,
        reason: 'a consumer of peer messages does not keep up',
        retryAfterSeconds: 1,
      });
    }
  }

  private takeEcho(message: Extract<PeerMessage, { type: 'heartbeat' }>): number | undefined {
    if (message.sequence <= this.receivedSequence || message.echo > this.sentSequence) {
      throw this.violation('heartbeat out of sequence');
    }
    this.receivedSequence = message.sequence;
    this.echoedSequence = Math.max(this.echoedSequence, message.echo);
    const askedMilliseconds = this.sentMilliseconds.get(message.echo);
    for (const sequence of this.sentMilliseconds.keys()) {
      if (sequence < message.echo) {
        this.sentMilliseconds.delete(sequence);
      }
    }
    return askedMilliseconds;
  }

  private sendHello(): void {
    const { identity, peersUrl } = this.owner;
    const { revision } = this.owner.statement();
    this.send({ type: PeerMessageType.Hello, identity, peersUrl, revision });
  }

  private sendHeartbeat(clock: Clock): void {
    this.sentSequence += 1;
    this.sentMilliseconds.set(this.sentSequence, clock.monotonicMilliseconds());
    this.send({
      type: PeerMessageType.Heartbeat,
      sequence: this.sentSequence,
      echo: this.receivedSequence,
      ...this.owner.statement(),
    });
  }

  private silent(): RelayError {
    return new RelayError({
      kind: FailureKind.DeadlineExceeded,
      limitMilliseconds: SILENCE_MILLISECONDS,
    });
  }

  private lost(reason: string): RelayError {
    const endpoint = this.name;
    return new RelayError({ kind: FailureKind.EndpointFailed, endpoint, reason, mayHaveRun: true });
  }

  private violation(reason: string): RelayError {
    return new RelayError({ kind: FailureKind.ProtocolViolation, peer: this.name, reason });
  }
}
