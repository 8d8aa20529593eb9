/** Residence time that is assumed until some requests have ended. */
const DEFAULT_RESIDENCE_MILLISECONDS = 1000;

const RESIDENCE_BOUNDS_MILLISECONDS = { minimum: 20, maximum: 60_000 } as const;

/** Smallest weight of a request in the average residence time. */
const RESIDENCE_WEIGHT = 0.05;

/** Time constant of the rate of requests. */
const RATE_MILLISECONDS = 3000;

/** An event rate over the recent past. */
class RecentRate {
  private sum = 0;

  private atMilliseconds = 0;

  private startMilliseconds: number | undefined;

  add(amount: number, now: number): void {
    this.startMilliseconds ??= now;
    this.sum = this.decayed(now) + amount;
    this.atMilliseconds = now;
  }

  /** Amount per millisecond. The first event alone is counted over the whole time constant. */
  perMillisecond(now: number): number {
    if (this.startMilliseconds === undefined) {
      return 0;
    }
    const elapsed = Math.max(0, now - this.startMilliseconds);
    const covered = RATE_MILLISECONDS * Math.max(1 / 3, 1 - Math.exp(-elapsed / RATE_MILLISECONDS));
    return this.decayed(now) / covered;
  }

  private decayed(now: number): number {
    return this.sum * Math.exp(Math.min(0, this.atMilliseconds - now) / RATE_MILLISECONDS);
  }
}

/** What this instance has observed of the requests for one service. */
export class ServiceWork {
  /** Other instances of the zone, which are assumed to get as many requests as this one. */
  zonePeers = 0;

  private residence = DEFAULT_RESIDENCE_MILLISECONDS;

  private endedRequests = 0;

  private readonly requests = new RecentRate();

  private readonly promptTokens = new RecentRate();

  private rejectionCount = 0;

  /** Records that a request was sent to an endpoint. */
  recordRequest(promptTokens: number, now: number): void {
    this.requests.add(1, now);
    if (promptTokens > 0) {
      this.promptTokens.add(promptTokens, now);
    }
  }

  /** Records that an endpoint has rejected a request although it was expected to have room. */
  recordRejection(): void {
    this.rejectionCount += 1;
  }

  /** Requests that endpoints have rejected. */
  get rejections(): number {
    return this.rejectionCount;
  }

  /** Records how long an endpoint of a relative speed was busy with a request. */
  recordResidence(milliseconds: number, relativeSpeed: number): void {
    const { minimum, maximum } = RESIDENCE_BOUNDS_MILLISECONDS;
    const sample = Math.min(maximum, Math.max(minimum, milliseconds * relativeSpeed));
    this.endedRequests += 1;
    const weight = Math.max(RESIDENCE_WEIGHT, 1 / this.endedRequests);
    this.residence += (sample - this.residence) * weight;
  }

  /** Average time for which an endpoint of relative speed 1 is busy with a request. */
  get residenceMilliseconds(): number {
    return this.residence;
  }

  /** Requests of this instance per millisecond. */
  requestsPerMillisecond(now: number): number {
    return this.requests.perMillisecond(now);
  }

  /** Prompt tokens of this instance per millisecond. */
  promptTokensPerMillisecond(now: number): number {
    return this.promptTokens.perMillisecond(now);
  }

  /** Requests that the other instances of the zone have sent within a time, as expected. */
  expectedPeerRequests(milliseconds: number, now: number): number {
    return this.zonePeers === 0
      ? 0
      : this.requests.perMillisecond(now) * this.zonePeers * milliseconds;
  }
}
