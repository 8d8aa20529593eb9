import type { EndpointLoad } from './PeerMessage.js';

/** Time after which a message is discarded. Tolerates the loss of about three messages. */
const MESSAGE_LIFETIME_MILLISECONDS = 1000;

/** Load of all other instances on one endpoint. */
export interface PeerLoad {
  readonly running: number;
  readonly prefillTokens: number;
  readonly latePrefillTokens: number;
}

const NO_LOAD: PeerLoad = { running: 0, prefillTokens: 0, latePrefillTokens: 0 };

/** Load that other instances put on endpoints, from the latest message of each instance. */
export class PeerLoads {
  private readonly messages = new Map<
    string,
    { loads: readonly EndpointLoad[]; receivedAtMilliseconds: number }
  >();

  private sums = new Map<number, PeerLoad>();

  /** Records the load of an instance, received at a time of the monotonic clock. */
  receive(
    { sender, loads }: { sender: string; loads: readonly EndpointLoad[] },
    now: number,
  ): void {
    this.messages.set(sender, { loads, receivedAtMilliseconds: now });
    this.recompute(now);
  }

  /** Discards expired messages. */
  expire(now: number): void {
    this.recompute(now);
  }

  loadOf(endpoint: number): PeerLoad {
    return this.sums.get(endpoint) ?? NO_LOAD;
  }

  private recompute(now: number): void {
    const sums = new Map<number, PeerLoad>();
    for (const [instance, { loads, receivedAtMilliseconds }] of this.messages) {
      if (now - receivedAtMilliseconds > MESSAGE_LIFETIME_MILLISECONDS) {
        this.messages.delete(instance);
      } else {
        loads.forEach((load) => {
          const sum = sums.get(load.endpoint) ?? NO_LOAD;
          sums.set(load.endpoint, {
            running: sum.running + load.running,
            prefillTokens: sum.prefillTokens + load.prefillTokens,
            latePrefillTokens: sum.latePrefillTokens + load.latePrefillTokens,
          });
        });
      }
    }
    this.sums = sums;
  }
}
