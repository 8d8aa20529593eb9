import { PeerChannel } from 'hickoryrelay-forwarding/PeerChannel';

import type { PeerAddress, PeerRecord } from 'hickoryrelay-forwarding/PeerRecord';

/** Port of instance 0. The others follow, since no socket can have port 0. */
const FIRST_PORT = 7000;

type ForwardDatagram = (from: number, to: number, bytes: Buffer) => void;

/** The channel of one instance. */
export class InMemoryPeerChannel extends PeerChannel {
  private readonly forward: ForwardDatagram;

  private readonly number: number;

  constructor(number: number, forward: ForwardDatagram) {
    super();
    this.forward = forward;
    this.number = number;
  }

  receive(bytes: Buffer): void {
    this.deliver(bytes);
  }

  protected override transmit({ port }: PeerAddress, bytes: Buffer): void {
    this.forward(this.number, port - FIRST_PORT, bytes);
  }
}

/** Delivers datagrams between instances in memory, by number. A test decides which are lost. */
export class InMemoryPeerNetwork {
  private readonly channels = new Map<number, InMemoryPeerChannel>();

  /** Returns false for a datagram to drop. */
  isDelivered: (from: number, to: number) => boolean = () => true;

  /** Called for each datagram sent, including those that are dropped. */
  observe: (from: number, to: number, bytes: Buffer) => void = () => {};

  sentDatagrams = 0;

  channelOf(peer: PeerAddress): InMemoryPeerChannel {
    const number = peer.port - FIRST_PORT;
    const channel = new InMemoryPeerChannel(number, (...datagram) => this.forward(...datagram));
    this.channels.set(number, channel);
    return channel;
  }

  /** Delivers a datagram recorded earlier. */
  deliverLate(to: number, bytes: Buffer): void {
    this.channels.get(to)?.receive(bytes);
  }

  private forward(from: number, to: number, bytes: Buffer): void {
    this.sentDatagrams += 1;
    this.observe(from, to, bytes);
    if (this.isDelivered(from, to)) {
      this.channels.get(to)?.receive(bytes);
    }
  }
}

export function makePeer(number: number, zone: string, cores = 0.3): PeerRecord {
  return {
    instance: `instance-${number}`,
    zone,
    host: '10.0.0.1',
    port: FIRST_PORT + number,
    cores,
  };
}
