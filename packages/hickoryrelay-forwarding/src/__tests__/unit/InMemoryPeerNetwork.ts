import { PeerChannel } from 'hickoryrelay-forwarding/PeerChannel';

import type { PeerAddress, PeerRecord } from 'hickoryrelay-forwarding/PeerRecord';

type ForwardDatagram = (fromPort: number, toPort: number, bytes: Buffer) => void;

/** The channel of one instance. */
export class InMemoryPeerChannel extends PeerChannel {
  private readonly forward: ForwardDatagram;

  private readonly port: number;

  constructor(port: number, forward: ForwardDatagram) {
    super();
    this.forward = forward;
    this.port = port;
  }

  receive(bytes: Buffer): void {
    this.deliver(bytes);
  }

  protected override transmit({ port }: PeerAddress, bytes: Buffer): void {
    this.forward(this.port, port, bytes);
  }
}

/** Delivers datagrams between instances in memory, by port. A test decides which are lost. */
export class InMemoryPeerNetwork {
  private readonly channels = new Map<number, InMemoryPeerChannel>();

  /** Returns false for a datagram to drop. */
  isDelivered: (fromPort: number, toPort: number) => boolean = () => true;

  /** Called for each datagram sent, including those that are dropped. */
  observe: (fromPort: number, toPort: number, bytes: Buffer) => void = () => {};

  sentDatagrams = 0;

  channelOf(peer: PeerAddress): InMemoryPeerChannel {
    const channel = new InMemoryPeerChannel(peer.port, (...datagram) => this.forward(...datagram));
    this.channels.set(peer.port, channel);
    return channel;
  }

  /** Delivers a datagram recorded earlier. */
  deliverLate(toPort: number, bytes: Buffer): void {
    this.channels.get(toPort)?.receive(bytes);
  }

  private forward(fromPort: number, toPort: number, bytes: Buffer): void {
    this.sentDatagrams += 1;
    this.observe(fromPort, toPort, bytes);
    if (this.isDelivered(fromPort, toPort)) {
      this.channels.get(toPort)?.receive(bytes);
    }
  }
}

export function makePeer(number: number, zone: string, cores = 0.3): PeerRecord {
  return { instance: `instance-${number}`, zone, host: '10.0.0.1', port: number, cores };
}
