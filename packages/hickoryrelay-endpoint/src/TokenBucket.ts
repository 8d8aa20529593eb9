const MILLISECONDS_PER_SECOND = 1000;

/** Time in which the rate fills the bucket, unless that is less than one token. */
const FILL_SECONDS = 0.25;

/** A bucket that is refilled at a rate and holds at least one token. Starts empty. */
export class TokenBucket {
  private tokens = 0;

  private ratePerSecond: number;

  private updatedMilliseconds: number;

  constructor(ratePerSecond: number, now: number) {
    this.ratePerSecond = ratePerSecond;
    this.updatedMilliseconds = now;
  }

  /** Time until there is a token; infinite if the rate is 0. */
  waitMilliseconds(ratePerSecond: number, now: number): number {
    this.refill(ratePerSecond, now);
    if (ratePerSecond === 0) {
      return Number.POSITIVE_INFINITY;
    }
    return (Math.max(0, 1 - this.tokens) / ratePerSecond) * MILLISECONDS_PER_SECOND;
  }

  /** Takes a token. Returns false if there is none. */
  tryTake(ratePerSecond: number, now: number): boolean {
    const canTake = this.waitMilliseconds(ratePerSecond, now) === 0;
    this.tokens -= Number(canTake);
    return canTake;
  }

  /** Returns a token that was not used. */
  giveBack(): void {
    this.tokens = Math.min(this.tokens + 1, TokenBucket.capacityAt(this.ratePerSecond));
  }

  /** The lower of the previous and the new rate counts for the time in which the rate changed. */
  private refill(ratePerSecond: number, now: number): void {
    const elapsedSeconds = Math.max(0, now - this.updatedMilliseconds) / MILLISECONDS_PER_SECOND;
    const added = Math.min(this.ratePerSecond, ratePerSecond) * elapsedSeconds;
    this.tokens = Math.min(this.tokens + added, TokenBucket.capacityAt(ratePerSecond));
    this.ratePerSecond = ratePerSecond;
    this.updatedMilliseconds = now;
  }

  private static capacityAt(ratePerSecond: number): number {
    return Math.max(1, ratePerSecond * FILL_SECONDS);
  }
}
