import type { EndpointLoad } from './PeerMessage.js';

/** A message says nothing any more after this time; about three messages are lost by then. */
const MESSAGE_LIFE_MILLISECONDS = 1000;

/** The load of all other instances on one endpoint. */
export interface PeerLoad {
  readonly running: number;
  readonly readingTokens: number;
  readonly lateTokens: number;
}

const NO_LOAD: PeerLoad = { running: 0, readingTokens: 0, lateTokens: 0 };

/** The load that other instances put on endpoints, by what they last said. */
export class PeerLoads {
  private readonly messages = new Map<string, { loads: readonly EndpointLoad[]; at: number }>();

  private sums = new Map<number, PeerLoad>();

  /** Takes what an instance said of its load, at a time of the steady clock. */
  receive(
    { sender, loads }: { sender: string; loads: readonly EndpointLoad[] },
    now: number,
  ): void {
    this.messages.set(sender, { loads, at: now });
    this.sum(now);
  }

  /** Drops messages that are too old. */
  expire(now: number): void {
    this.sum(now);
  }

  loadOf(endpoint: number): PeerLoad {
    return this.sums.get(endpoint) ?? NO_LOAD;
  }

  private sum(now: number): void {
    const sums = new Map<number, PeerLoad>();
    for (const [instance, { loads, at }] of this.messages) {
      if (now - at > MESSAGE_LIFE_MILLISECONDS) {
        this.messages.delete(instance);
      } else {
        loads.forEach((load) => {
          const known = sums.get(load.endpoint) ?? NO_LOAD;
          sums.set(load.endpoint, {
            running: known.running + load.running,
            readingTokens: known.readingTokens + load.readingTokens,
            lateTokens: known.lateTokens + load.lateTokens,
          });
        });
      }
    }
    this.sums = sums;
  }
}
