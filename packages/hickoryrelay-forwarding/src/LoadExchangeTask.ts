import { Task } from 'hickoryrelay/Task';

import { decodeLoad, encodeLoad } from './LoadMessage.js';

import type { ConfirmedView } from './ConfirmedView.js';
import type { EndpointRegistry } from './EndpointRegistry.js';
import type { PartDirectory } from './PartDirectory.js';
import type { PeerLoads } from './PeerLoads.js';
import type { PeerRecord } from './PeerRecord.js';
import type { TaskContext } from 'hickoryrelay/Task';

/** Shortest time between two messages to a peer; the load of an engine changes within about 100 ms. */
const PERIOD_MILLISECONDS = 100;

/** Messages that an instance sends in a second at most. */
const MOST_MESSAGES_PER_SECOND = 80;

/** With more instances than this, only those of the own zone talk, and their load is scaled up. */
const MOST_PEERS_ACROSS_ZONES = 16;

const MILLISECONDS_PER_SECOND = 1000;

/** Carries datagrams between instances. Some are lost. */
export abstract class LoadChannel {
  abstract send(peer: PeerRecord, bytes: Buffer): void;

  /** Calls the receiver for each datagram. Returns the function that ends it. */
  abstract receive(receiver: (bytes: Buffer) => void): () => void;
}

/** What the task works with. */
export interface LoadExchangeParts {
  readonly self: PeerRecord;
  readonly channel: LoadChannel;
  readonly view: ConfirmedView;
  readonly registry: EndpointRegistry;
  readonly loads: PeerLoads;
  readonly directory: PartDirectory;
}

/**
 * Tells the other instances what this one has under way at each endpoint and which parts of prompts
 * were read where, and hears theirs.
 */
export class LoadExchangeTask extends Task {
  override readonly name = 'load exchange';

  private readonly parts: LoadExchangeParts;

  private wasIdle = false;

  constructor(parts: LoadExchangeParts) {
    super();
    this.parts = parts;
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    const { channel, loads, directory } = this.parts;
    const stopReceiving = channel.receive((bytes) => {
      const message = decodeLoad(bytes);
      if (message !== undefined) {
        const now = clock.monotonicMilliseconds();
        loads.receive(message, now);
        message.uses.forEach((use) => directory.record(use, now));
      }
    });
    try {
      for (;;) {
        const peers = this.audience();
        this.tell(peers);
        loads.expire(clock.monotonicMilliseconds());
        yield;
        const period = (peers.length / MOST_MESSAGES_PER_SECOND) * MILLISECONDS_PER_SECOND;
        await clock.sleep(Math.max(PERIOD_MILLISECONDS, period), signal);
      }
    } finally {
      stopReceiving();
    }
  }

  /** The peers that are told, which are those that are heard. */
  private audience(): readonly PeerRecord[] {
    const { view, self, loads } = this.parts;
    const others = view.peers.filter(({ instance }) => instance !== self.instance);
    const inZone = others.filter(({ zone }) => zone === self.zone);
    if (others.length <= MOST_PEERS_ACROSS_ZONES || inZone.length === 0) {
      loads.setScale(1);
      return others;
    }
    loads.setScale(others.length / inZone.length);
    return inZone;
  }

  private tell(peers: readonly PeerRecord[]): void {
    const { self, registry, channel, directory } = this.parts;
    const ownLoads = [...registry.ownLoads()];
    const uses = directory.takeUntold();
    const isIdle = ownLoads.length === 0 && uses.length === 0;
    if (!(isIdle && this.wasIdle)) {
      const bytes = encodeLoad({ instance: self.instance, loads: ownLoads, uses });
      peers.forEach((peer) => channel.send(peer, bytes));
    }
    this.wasIdle = isIdle;
  }
}
