import { backoffDelays } from 'hickoryrelay/Backoff';
import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import type { PeerConnection, PeerTransport } from './PeerConnection.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { PartLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { TaskContext } from 'hickoryrelay/Task';

/** Longest wait stays well below the 19 s in which a change must arrive everywhere. */
const RECONNECT_LIMITS = { firstMilliseconds: 200, longestMilliseconds: 4000 };

const CONNECT_MILLISECONDS = 2000;

/** A link that ends earlier counts as flapping, and the next wait is longer. */
const STABLE_MILLISECONDS = 15_000;

/** Where a peer is reached. */
export interface PeerAddress {
  readonly name: string;
  readonly url: string;
}

/** What a dialler needs of the network that it belongs to. */
export interface DiallerParts {
  readonly transport: PeerTransport;
  readonly random: RandomSource;
  readonly log: PartLogger;
  /** Resolves when there is no link to the peer, whoever opened it. */
  readonly unlinked: (peerName: string, signal: AbortSignal) => Promise<void>;
  /** Runs a link over a new connection until it ends or the signal aborts. */
  readonly serve: (
    address: PeerAddress,
    connection: PeerConnection,
    signal: AbortSignal,
  ) => Promise<void>;
}

/** Keeps a link to one wanted peer open, with jittered and bounded waits between attempts. */
export class PeerDialler extends Task {
  readonly address: PeerAddress;

  private readonly parts: DiallerParts;

  constructor(address: PeerAddress, parts: DiallerParts) {
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
    let delays = backoffDelays(RECONNECT_LIMITS, parts.random);
    for (;;) {
      await parts.unlinked(address.name, signal);
      yield;
      const startedMilliseconds = clock.monotonicMilliseconds();
      await this.connectOnce(clock, signal);
      yield;
      if (clock.monotonicMilliseconds() - startedMilliseconds >= STABLE_MILLISECONDS) {
        delays = backoffDelays(RECONNECT_LIMITS, parts.random);
      }
      await clock.sleep(delays.next().value, signal);
    }
  }

  private async connectOnce(clock: Clock, signal: AbortSignal): Promise<void> {
    const abort = new AbortController();
    const onAbort = () => abort.abort();
    signal.addEventListener('abort', onAbort, { once: true });
    const cancelTimer = clock.schedule(CONNECT_MILLISECONDS, onAbort);
    try {
      const connection = await this.parts.transport.connect(this.address.url, abort.signal);
      cancelTimer();
      await this.parts.serve(this.address, connection, signal);
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
