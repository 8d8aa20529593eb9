import type { EndpointLoad } from './PeerMessage.js';

/** Time after which a message is discarded. Tolerates the loss of about three messages. */
const MESSAGE_LIFETIME_MILLISECONDS = 1000;

/** Load of all other instances on one endpoint. */
export interface PeerLoad {
  readonly running: number;
  readonly prefillTokens: number;
  readonly latePrefillTokens: number;
  /** Tokens in the KV cache. */
  readonly occupiedTokens: number;
}

const NO_LOAD: PeerLoad = {
  running: 0,
  prefillTokens: 0,
  latePrefillTokens: 0,
  occupiedTokens: 0,
};

interface ReceivedLoads {
  readonly loads: readonly EndpointLoad[];
  readonly receivedAtMilliseconds: number;
  /** Average age of the loads when the message arrived. */
  readonly ageMilliseconds: number;
}

/** Load that other instances put on endpoints, from the latest message of each instance. */
export class PeerLoads {
  private readonly messages = new Map<string, ReceivedLoads>();

  private sums = new Map<number, PeerLoad>();

  private changeCount = 0;

  /** Average time at which the loads were as reported; undefined without a message. */
  private asOfMilliseconds: number | undefined;

  /**
   * Records the load of an instance, received at a time of the monotonic clock. Loads that have passed
   * a relay were some time old then.
   */
  receive(
    { sender, loads }: { sender: string; loads: readonly EndpointLoad[] },
    now: number,
    ageMilliseconds = 0,
  ): void {
    this.messages.set(sender, { loads, receivedAtMilliseconds: now, ageMilliseconds });
    this.recompute(now);
  }

  /** Number of changes of the loads, for those who keep figures that derive from them. */
  get version(): number {
    return this.changeCount;
  }

  /** Age of the loads, up to the time after which messages are discarded. */
  ageMilliseconds(now: number): number {
    return this.asOfMilliseconds === undefined
      ? MESSAGE_LIFETIME_MILLISECONDS
      : Math.max(0, Math.min(MESSAGE_LIFETIME_MILLISECONDS, now - this.asOfMilliseconds));
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
    let asOfSum = 0;
    for (const [instance, received] of this.messages) {
      const { loads, receivedAtMilliseconds, ageMilliseconds } = received;
      if (now - receivedAtMilliseconds > MESSAGE_LIFETIME_MILLISECONDS) {
        this.messages.delete(instance);
      } else {
        asOfSum += receivedAtMilliseconds - ageMilliseconds;
        loads.forEach((load) => {
          const sum = sums.get(load.endpoint) ?? NO_LOAD;
          sums.set(load.endpoint, {
            running: sum.running + load.running,
            prefillTokens: sum.prefillTokens + load.prefillTokens,
            latePrefillTokens: sum.latePrefillTokens + load.latePrefillTokens,
            occupiedTokens: sum.occupiedTokens + (load.occupiedTokens ?? 0),
          });
        });
      }
    }
    this.sums = sums;
    this.changeCount += 1;
    this.asOfMilliseconds = this.messages.size === 0 ? undefined : asOfSum / this.messages.size;
  }
}
