import { PeerChannel } from 'hickoryrelay-forwarding/PeerChannel';

import type { PeerAddress, PeerRecord } from 'hickoryrelay-forwarding/PeerRecord';

type Carry = (fromPort: number, toPort: number, bytes: Buffer) => void;

/** One end of the network. */
export class MemoryPeerChannel extends PeerChannel {
  private readonly carry: Carry;

  private readonly port: number;

  constructor(port: number, carry: Carry) {
    super();
    this.carry = carry;
    this.port = port;
  }

  take(bytes: Buffer): void {
    this.deliver(bytes);
  }

  protected override transmit({ port }: PeerAddress, bytes: Buffer): void {
    this.carry(this.port, port, bytes);
  }
}

/** Datagrams between instances in memory, by port. A test decides which arrive. */
export class PeerNetwork {
  private readonly channels = new Map<number, MemoryPeerChannel>();

  /** False for a datagram that is lost. */
  arrives: (fromPort: number, toPort: number) => boolean = () => true;

  /** Called for each datagram that is sent, whether it arrives or not. */
  observe: (fromPort: number, toPort: number, bytes: Buffer) => void = () => {};

  sentDatagrams = 0;

  channelOf(peer: PeerAddress): MemoryPeerChannel {
    const channel = new MemoryPeerChannel(peer.port, (...datagram) => this.carry(...datagram));
    this.channels.set(peer.port, channel);
    return channel;
  }

  /** Delivers a datagram that was held up on the way. */
  deliverLate(toPort: number, bytes: Buffer): void {
    this.channels.get(toPort)?.take(bytes);
  }

  private carry(fromPort: number, toPort: number, bytes: Buffer): void {
    this.sentDatagrams += 1;
    this.observe(fromPort, toPort, bytes);
    if (this.arrives(fromPort, toPort)) {
      this.channels.get(toPort)?.take(bytes);
    }
  }
}

export function makePeer(number: number, zone: string, cores = 0.3): PeerRecord {
  return { instance: `instance-${number}`, zone, host: '10.0.0.1', port: number, cores };
}
