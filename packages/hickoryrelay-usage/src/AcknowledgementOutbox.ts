import type { InstanceIdentity } from 'hickoryrelay-link/PeerMessages';
import type { PeerNetwork } from 'hickoryrelay-link/PeerNetwork';

interface PendingAcknowledgements {
  readonly to: InstanceIdentity;
  readonly numbers: number[];
}

/** Batches acknowledgements of messages by sender. */
export class AcknowledgementOutbox {
  private readonly network: PeerNetwork;

  private readonly waiting = new Map<string, PendingAcknowledgements>();

  constructor(network: PeerNetwork) {
    this.network = network;
  }

  add(to: InstanceIdentity, number: number): void {
    const pending = this.waiting.get(to.incarnation);
    if (pending === undefined) {
      this.waiting.set(to.incarnation, { to, numbers: [number] });
    } else {
      pending.numbers.push(number);
    }
  }

  /** Sends the pending acknowledgements for one incarnation. */
  send({ incarnation }: InstanceIdentity): void {
    const pending = this.waiting.get(incarnation);
    if (pending !== undefined) {
      this.waiting.delete(incarnation);
      const { to, numbers } = pending;
      this.network.send(to.name, { type: 'usage-acknowledged', incarnation, numbers });
    }
  }

  sendAll(): void {
    [...this.waiting.values()].forEach(({ to }) => this.send(to));
  }
}
