import { backoffDelays } from 'hickoryrelay/Backoff';
import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import type { PeerConnection, PeerTransport } from './PeerConnection.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { TaskContext } from 'hickoryrelay/Task';

/** The maximum delay stays well below the 19 s in which a change must reach all instances. */
const RECONNECT_BACKOFF = { initialMilliseconds: 200, maximumMilliseconds: 4000 };

const CONNECT_TIMEOUT_MILLISECONDS = 2000;

/** A link that ends earlier counts as flapping, and the next backoff delay is longer. */
const STABLE_LINK_MILLISECONDS = 15_000;

/** Name of a peer and URL of its peer interface. */
export interface PeerAddress {
  readonly name: string;
  readonly url: string;
}

/** Dependencies of a connector. */
export interface PeerConnectorParts {
  readonly transport: PeerTransport;
  readonly random: RandomSource;
  readonly log: ComponentLogger;
  /** Resolves when there is no link to the peer, regardless of which side opened it. */
  readonly waitUntilUnlinked: (peerName: string, signal: AbortSignal) => Promise<void>;
  /** Runs a link on a new connection until it ends or the signal aborts. */
  readonly runLink: (
    address: PeerAddress,
    connection: PeerConnection,
    signal: AbortSignal,
  ) => Promise<void>;
}

/** Keeps a link to one neighbour open, with jittered exponential backoff between attempts. */
export class PeerConnector extends Task {
  readonly address: PeerAddress;

  private readonly parts: PeerConnectorParts;

  constructor(address: PeerAddress, parts: PeerConnectorParts) {
    super();
    this.address = address;
    this.parts = parts;
  }

  override get name(): string {
    return `peer dialler ${this.address.name}`;
  }

  protected override async *steps({
    clock,
    signal,
  }: TaskContext): AsyncGenerator<void, void, void> {
    const { parts, address } = this;
    let delays = backoffDelays(RECONNECT_BACKOFF, parts.random);
    for (;;) {
      await parts.waitUntilUnlinked(address.name, signal);
      yield;
      const startedMilliseconds = clock.monotonicMilliseconds();
      await this.connectOnce(clock, signal);
      yield;
      if (clock.monotonicMilliseconds() - startedMilliseconds >= STABLE_LINK_MILLISECONDS) {
        delays = backoffDelays(RECONNECT_BACKOFF, parts.random);
      }
      await clock.sleep(delays.next().value, signal);
    }
  }

  private async connectOnce(clock: Clock, signal: AbortSignal): Promise<void> {
    const abort = new AbortController();
    const onAbort = () => abort.abort();
    signal.addEventListener('abort', onAbort, { once: true });
    const cancelTimer = clock.schedule(CONNECT_TIMEOUT_MILLISECONDS, onAbort);
    try {
      const connection = await this.parts.transport.connect(this.address.url, abort.signal);
      cancelTimer();
      await this.parts.runLink(this.address, connection, signal);
    } catch (error) {
      this.parts.log.debug('Could not connect to a peer.', {
        peer: this.address.name,
        reason: describeFailure(failureOf(error)),
      });
    } finally {
      cancelTimer();
      signal.removeEventListener('abort', onAbort);
    }
  }
}
