import { createSocket } from 'node:dgram';

import { LoadChannel } from './LoadExchangeTask.js';

import type { PeerRecord } from './PeerRecord.js';
import type { PartLogger } from 'hickoryrelay/Logger';
import type { Socket } from 'node:dgram';

/** Sends load messages as UDP datagrams. */
export class UdpLoadChannel extends LoadChannel {
  private readonly socket: Socket;

  constructor(host: string, port: number, log: PartLogger) {
    super();
    this.socket = createSocket('udp4');
    this.socket.on('error', (error) => {
      log.warn('The load channel failed.', { reason: error.message });
    });
    this.socket.bind(port, host);
  }

  override send(peer: PeerRecord, bytes: Buffer): void {
    // A datagram that cannot be sent is like one that is lost: the next one replaces it.
    this.socket.send(bytes, peer.port, peer.host, () => {});
  }

  override receive(receiver: (bytes: Buffer) => void): () => void {
    const listener = (bytes: Buffer) => receiver(bytes);
    this.socket.on('message', listener);
    return () => {
      this.socket.off('message', listener);
    };
  }

  close(): void {
    this.socket.close();
  }
}
