import { TokenBucket } from './TokenBucket.js';

/**
 * The tokens of this instance for the rate limit of one network address. Registrations with one
 * address share them, since they lead to one endpoint.
 */
export class RateLimitTokens {
  /** Hash of the address, by which the limit is divided among instances. */
  readonly key: number;

  private bucket = new TokenBucket(0, 0);

  constructor(key: number) {
    this.key = key;
  }

  /** Starts with an empty bucket when a registration of the address gets a limit. */
  begin(ratePerSecond: number, now: number): void {
    this.bucket = new TokenBucket(ratePerSecond, now);
  }

  /** Time until there is a token; infinite if the rate is 0. */
  waitMilliseconds(ratePerSecond: number, now: number): number {
    return this.bucket.waitMilliseconds(ratePerSecond, now);
  }

  /** Takes a token. Returns false if there is none. */
  tryTake(ratePerSecond: number, now: number): boolean {
    return this.bucket.tryTake(ratePerSecond, now);
  }

  /** Returns a token that was not used. */
  giveBack(): void {
    this.bucket.giveBack();
  }
}
