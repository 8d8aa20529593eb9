import type { InstanceIdentity } from 'hickoryrelay-link/PeerMessages';
import type { PeerNetwork } from 'hickoryrelay-link/PeerNetwork';

interface Waiting {
  readonly to: InstanceIdentity;
  readonly numbers: number[];
}

/** Numbers of messages that are to be acknowledged, gathered for each sender. */
export class AcknowledgementOutbox {
  private readonly network: PeerNetwork;

  private readonly waiting = new Map<string, Waiting>();

  constructor(network: PeerNetwork) {
    this.network = network;
  }

  add(to: InstanceIdentity, number: number): void {
    const present = this.waiting.get(to.incarnation);
    if (present === undefined) {
      this.waiting.set(to.incarnation, { to, numbers: [number] });
    } else {
      present.numbers.push(number);
    }
  }

  /** Sends what waits for one incarnation. */
  send({ incarnation }: InstanceIdentity): void {
    const present = this.waiting.get(incarnation);
    if (present !== undefined) {
      this.waiting.delete(incarnation);
      const { to, numbers } = present;
      this.network.send(to.name, { type: 'usage-acknowledged', incarnation, numbers });
    }
  }

  sendAll(): void {
    [...this.waiting.values()].forEach(({ to }) => this.send(to));
  }
}
