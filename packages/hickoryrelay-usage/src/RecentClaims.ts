import type { StoredClaim } from './StoredClaim.js';
import type { Clock } from 'hickoryrelay/Clock';

/** Claims are put back if the copy that is restored is not older than this. */
const RETENTION_MILLISECONDS = 3_600_000;

/** An entry takes about 300 bytes. */
const MAXIMUM_CLAIMS = 20_000;

/** A claim of this instance and the era of the store in which it was written. */
export interface RecentClaim {
  readonly key: string;
  readonly claim: StoredClaim;
  readonly era: number;
  readonly claimedMilliseconds: number;
}

/**
 * The claims that this instance has made lately, without the bodies of responses. A store that is
 * restored from an older copy has forgotten some of them.
 */
export class RecentClaims {
  private readonly clock: Clock;

  private readonly claims = new Map<string, RecentClaim>();

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Adds or replaces the claim of a key. */
  record(key: string, { requestIdentifier, digest, answer }: StoredClaim, era: number): void {
    const claimedMilliseconds = this.clock.monotonicMilliseconds();
    // Without a body, the content type is not used. It may have as many bytes as a head.
    const withoutBody = answer && { status: answer.status, contentType: '' };
    const claim = {
      requestIdentifier,
      digest,
      ...(withoutBody === undefined ? {} : { answer: withoutBody }),
    };
    this.claims.delete(key);
    this.claims.set(key, { key, claim, era, claimedMilliseconds });
    this.removeExpired();
  }

  remove(key: string): void {
    this.claims.delete(key);
  }

  /** Returns the claim of a key if it was written before the given era. */
  findOfEarlierEra(key: string, era: number): RecentClaim | undefined {
    const found = this.claims.get(key);
    return found !== undefined && found.era < era ? found : undefined;
  }

  /** Returns all claims that were written before the given era. */
  listOfEarlierEras(era: number): readonly RecentClaim[] {
    this.removeExpired();
    return [...this.claims.values()].filter((claim) => claim.era < era);
  }

  private removeExpired(): void {
    const oldestMilliseconds = this.clock.monotonicMilliseconds() - RETENTION_MILLISECONDS;
    for (const [key, { claimedMilliseconds }] of this.claims) {
      if (claimedMilliseconds >= oldestMilliseconds && this.claims.size <= MAXIMUM_CLAIMS) {
        return;
      }
      this.claims.delete(key);
    }
  }
}
