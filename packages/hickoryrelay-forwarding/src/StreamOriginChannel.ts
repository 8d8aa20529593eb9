import { OriginChannel } from 'hickoryrelay-stream/OriginChannel';
import { STREAM_ORIGIN_KIND } from 'hickoryrelay-stream/StreamOriginMessage';

import type { ConfirmedView } from './ConfirmedView.js';
import type { PeerChannel } from './PeerChannel.js';
import type { PeerRecord } from './PeerRecord.js';
import type { OriginAddress } from 'hickoryrelay-stream/OriginChannel';
import type { StreamOriginMessage } from 'hickoryrelay-stream/StreamOriginMessage';

/** Exchanges stream origins with the instances in the view, as datagrams. */
export class StreamOriginChannel extends OriginChannel {
  override readonly self: PeerRecord;

  private readonly channel: PeerChannel;

  private readonly view: ConfirmedView;

  constructor(self: PeerRecord, channel: PeerChannel, view: ConfirmedView) {
    super();
    this.self = self;
    this.channel = channel;
    this.view = view;
  }

  override get peers(): readonly PeerRecord[] {
    return this.view.peers.filter(({ instance }) => instance !== this.self.instance);
  }

  override send(addresses: readonly OriginAddress[], message: StreamOriginMessage): void {
    this.channel.sendToAll(addresses, message);
  }

  override subscribe(listener: (message: StreamOriginMessage) => void): () => void {
    return this.channel.subscribe((message) => {
      if (message.kind === STREAM_ORIGIN_KIND) {
        listener(message);
      }
    });
  }
}
