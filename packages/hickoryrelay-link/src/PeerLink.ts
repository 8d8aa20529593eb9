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

export const HEARTBEAT_INTERVAL_MILLISECONDS = 1000;

/** A link is dead after three missing heartbeats in a row. */
export const SILENCE_TIMEOUT_MILLISECONDS = 3000;

/** The peer echoes in its next heartbeat, so verification takes one interval and a round trip. */
const VERIFICATION_TIMEOUT_MILLISECONDS = 2000;

/** What an instance reports about its configuration in each heartbeat. */
export interface ConfigurationStatus {
  readonly revision: number;
  /** Hash of the content, of 32 bits; 0 without a configuration. */
  readonly configurationTag: number;
  readonly viewAgeMilliseconds: number;
}

/** Owner of a link: the peer network of this instance. */
export abstract class PeerLinkOwner {
  abstract readonly identity: InstanceIdentity;

  abstract readonly peersUrl: string;

  abstract configurationStatus(): ConfigurationStatus;

  /** Decides whether to keep the link once its peer is known. */
  abstract register(link: PeerLink): boolean;

  /** Delivers a message to its consumers. Returns false if the queue of one is full. */
  abstract deliver(received: ReceivedPeerMessage): boolean;

  /** Called once when the link has ended; the failure is undefined if this instance ended it. */
  abstract onEnded(link: PeerLink, failure: Failure | undefined): void;
}

/** One connection to another entry instance, from the hello messages to its end. */
export class PeerLink extends Task {
  /** Whether this instance opened the connection. */
  readonly isOpener: boolean;

  /** Time of creation on the monotonic clock. */
  readonly openedMilliseconds: number;

  private readonly owner: PeerLinkOwner;

  private readonly connection: PeerConnection;

  private readonly expectedName: string | undefined;

  private peerIdentity: InstanceIdentity | undefined;

  private peerUrl = '';

  private sentSequence = 0;

  private echoedSequence = 0;

  private receivedSequence = 0;

  private verificationSequence = 0;

  private verificationStartedMilliseconds = 0;

  private readonly sentTimesMilliseconds = new Map<number, number>();

  private disconnectReason: Failure | undefined;

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

  /** Identity of the peer. Known once the link has been passed to `register`. */
  get peer(): InstanceIdentity {
    invariant(this.peerIdentity !== undefined, 'the peer has not sent its hello');
    return this.peerIdentity;
  }

  /** URL of the peer interface at the other end. */
  get peersUrl(): string {
    return this.peerUrl;
  }

  /** Name of the instance that opened the connection. */
  get openerName(): string {
    return this.isOpener ? this.owner.identity.name : this.peer.name;
  }

  /** False while the link awaits verification that the peer still receives. */
  get isVerified(): boolean {
    return this.echoedSequence >= this.verificationSequence;
  }

  /** Sends a message. Ends the link if the peer has stopped reading. */
  send(message: PeerMessage): boolean {
    const bytes = encodePeerMessage(message, this.peerIdentity);
    if (this.connection.queuedBytes + bytes.length > MAXIMUM_QUEUED_BYTES) {
      const reason = `${this.name} does not read`;
      this.disconnect({ kind: FailureKind.Overloaded, reason, retryAfterSeconds: 1 });
      return false;
    }
    this.connection.send(bytes);
    return true;
  }

  /** Ends the link from this side. */
  disconnect(reason: Failure): void {
    this.disconnectReason ??= reason;
    this.connection.terminate();
  }

  /** Suspends use of the link until the peer has echoed a heartbeat that is sent now. */
  requireVerification(clock: Clock): void {
    if (this.isVerified) {
      this.verificationSequence = this.sentSequence + 1;
      this.verificationStartedMilliseconds = clock.monotonicMilliseconds();
      this.sendHeartbeat(clock);
    }
  }

  protected override async *steps(context: TaskContext): AsyncGenerator<void, void, void> {
    let failure: Failure | undefined;
    try {
      const hello = await this.handshake(context);
      if (!this.owner.register(this)) {
        return;
      }
      this.owner.deliver({ from: this.peer, message: hello });
      yield;
      yield* this.exchangeMessages(context);
    } catch (error) {
      failure = this.disconnectReason ?? failureOf(error);
    } finally {
      this.connection.terminate();
      this.owner.onEnded(
        this,
        context.signal.aborted ? undefined : (failure ?? this.disconnectReason),
      );
    }
  }

  private async handshake({ clock, signal }: TaskContext): Promise<PeerMessage> {
    if (this.isOpener) {
      this.sendHello();
    }
    const bytes = await this.connection.received.next(clock, SILENCE_TIMEOUT_MILLISECONDS, signal);
    if (typeof bytes === 'string') {
      throw this.connectionLost(`no hello received: ${bytes}`);
    }
    const message = decodePeerMessage(bytes, this.name, this.owner.identity);
    if (message.type !== PeerMessageType.Hello) {
      throw this.violation(`expected a hello, received "${message.type}"`);
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

  private async *exchangeMessages({
    clock,
    signal,
  }: TaskContext): AsyncGenerator<void, void, void> {
    let lastReceivedMilliseconds = clock.monotonicMilliseconds();
    let nextHeartbeatMilliseconds = lastReceivedMilliseconds;
    for (;;) {
      const nowMilliseconds = clock.monotonicMilliseconds();
      if (nowMilliseconds >= nextHeartbeatMilliseconds) {
        this.assertAlive(nowMilliseconds, lastReceivedMilliseconds);
        this.sendHeartbeat(clock);
        nextHeartbeatMilliseconds = nowMilliseconds + HEARTBEAT_INTERVAL_MILLISECONDS;
      }
      const waitMilliseconds = nextHeartbeatMilliseconds - nowMilliseconds;
      const bytes = await this.connection.received.next(clock, waitMilliseconds, signal);
      if (bytes === QueueOutcome.Closed) {
        throw this.connectionLost('the connection ended');
      }
      if (bytes !== QueueOutcome.TimedOut) {
        lastReceivedMilliseconds = clock.monotonicMilliseconds();
        this.receive(decodePeerMessage(bytes, this.name, this.owner.identity));
      }
      yield;
    }
  }

  private assertAlive(nowMilliseconds: number, lastReceivedMilliseconds: number): void {
    if (nowMilliseconds - lastReceivedMilliseconds >= SILENCE_TIMEOUT_MILLISECONDS) {
      throw this.silenceTimeout();
    }
    if (
      !this.isVerified &&
      nowMilliseconds - this.verificationStartedMilliseconds >= VERIFICATION_TIMEOUT_MILLISECONDS
    ) {
      throw this.silenceTimeout();
    }
  }

  private receive(message: PeerMessage): void {
    if (message.type === PeerMessageType.Hello) {
      throw this.violation('received a second hello');
    }
    const echoedHeartbeatSentMilliseconds =
      message.type === PeerMessageType.Heartbeat ? this.processHeartbeat(message) : undefined;
    const received = {
      from: this.peer,
      message,
      ...(echoedHeartbeatSentMilliseconds !== undefined && {
        echoedHeartbeatSentMilliseconds,
      }),
    };
    if (!this.owner.deliver(received)) {
      throw new RelayError({
        kind: FailureKind.Overloaded,
        reason: 'a consumer of peer messages does not keep up',
        retryAfterSeconds: 1,
      });
    }
  }

  private processHeartbeat(
    message: Extract<PeerMessage, { type: 'heartbeat' }>,
  ): number | undefined {
    if (message.sequence <= this.receivedSequence || message.echo > this.sentSequence) {
      throw this.violation('heartbeat out of sequence');
    }
    this.receivedSequence = message.sequence;
    this.echoedSequence = Math.max(this.echoedSequence, message.echo);
    const echoedHeartbeatSentMilliseconds = this.sentTimesMilliseconds.get(message.echo);
    for (const sequence of this.sentTimesMilliseconds.keys()) {
      if (sequence < message.echo) {
        this.sentTimesMilliseconds.delete(sequence);
      }
    }
    return echoedHeartbeatSentMilliseconds;
  }

  private sendHello(): void {
    const { identity, peersUrl } = this.owner;
    const { revision } = this.owner.configurationStatus();
    this.send({ type: PeerMessageType.Hello, identity, peersUrl, revision });
  }

  private sendHeartbeat(clock: Clock): void {
    this.sentSequence += 1;
    this.sentTimesMilliseconds.set(this.sentSequence, clock.monotonicMilliseconds());
    this.send({
      type: PeerMessageType.Heartbeat,
      sequence: this.sentSequence,
      echo: this.receivedSequence,
      ...this.owner.configurationStatus(),
    });
  }

  private silenceTimeout(): RelayError {
    return new RelayError({
      kind: FailureKind.DeadlineExceeded,
      limitMilliseconds: SILENCE_TIMEOUT_MILLISECONDS,
    });
  }

  private connectionLost(reason: string): RelayError {
    const endpoint = this.name;
    return new RelayError({ kind: FailureKind.EndpointFailed, endpoint, reason, mayHaveRun: true });
  }

  private violation(reason: string): RelayError {
    return new RelayError({ kind: FailureKind.ProtocolViolation, peer: this.name, reason });
  }
}
