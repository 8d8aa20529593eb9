import { createSocket } from 'node:dgram';

import { PeerChannel } from './PeerChannel.js';

import type { PeerAddress } from './PeerRecord.js';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { Socket } from 'node:dgram';

/** Sends messages between instances as UDP datagrams. */
export class UdpPeerChannel extends PeerChannel {
  private readonly socket: Socket;

  constructor({ host, port }: PeerAddress, log: ComponentLogger) {
    super();
    this.socket = createSocket('udp4');
    this.socket.on('error', (error) => {
      log.warn('Peer socket error.', { reason: error.message });
    });
    this.socket.on('message', (bytes: Buffer) => this.deliver(bytes));
    this.socket.bind(port, host);
  }

  close(): void {
    this.socket.close();
  }

  protected override transmit({ host, port }: PeerAddress, bytes: Buffer): void {
    // A failed send counts as a lost datagram: load messages are repeated and requests time out.
    this.socket.send(bytes, port, host, () => {});
  }
}
