/** At 10 s, an account takes the reserved slots again after a few seconds of throttling. */
const DECAY_TIME_CONSTANT_MILLISECONDS = 30_000;

/** An account without usage for this long is inactive, and not counted in the equal share. */
const ACTIVITY_TIMEOUT_MILLISECONDS = 10_000;

/** Scaled costs grow by up to e^10 (interval divided by time constant) before they are rescaled. */
const RESCALE_INTERVAL_MILLISECONDS = 300_000;

interface AccountUsageRecord {
  /** Cost scaled by e^((t - landmark) / time constant), so that records of any age compare. */
  scaledCost: number;
  atMilliseconds: number;
}

/**
 * Exponentially decayed usage of the active accounts, at this and other instances. Uses forward
 * decay: instead of decaying all records, new costs are scaled up relative to a landmark time.
 */
export class RecentUsage {
  /** In order of last activity, so that inactive accounts come first. */
  private readonly records = new Map<string, AccountUsageRecord>();

  private totalScaledCost = 0;

  private landmarkMilliseconds = 0;

  /** Marks the account of an arriving call as active, whether or not the call is admitted. */
  recordArrival(account: string, nowMilliseconds: number): void {
    this.refresh(nowMilliseconds);
    const scaledCost = this.records.get(account)?.scaledCost ?? 0;
    this.records.delete(account);
    this.records.set(account, { scaledCost, atMilliseconds: nowMilliseconds });
  }

  /** Records cost. A negative cost refunds an overestimate and does not make the account active. */
  recordCost(account: string, cost: number, nowMilliseconds: number): void {
    this.refresh(nowMilliseconds);
    const existing = this.records.get(account);
    if (existing === undefined && cost <= 0) {
      return;
    }
    const scale = Math.exp(
      (nowMilliseconds - this.landmarkMilliseconds) / DECAY_TIME_CONSTANT_MILLISECONDS,
    );
    const previousScaledCost = existing?.scaledCost ?? 0;
    const scaledCost = Math.max(0, previousScaledCost + cost * scale);
    this.totalScaledCost += scaledCost - previousScaledCost;
    if (existing === undefined || cost > 0) {
      this.records.delete(account);
      this.records.set(account, { scaledCost, atMilliseconds: nowMilliseconds });
    } else {
      existing.scaledCost = scaledCost;
    }
  }

  /**
   * How far the account exceeds an equal share of the usage of all active accounts, as of the last
   * refresh: 0 up to the equal share, rising to 1 at twice the share and above.
   */
  excessRatio(account: string): number {
    const record = this.records.get(account);
    if (record === undefined || this.records.size < 2 || this.totalScaledCost <= 0) {
      return 0;
    }
    const equalShare = this.totalScaledCost / this.records.size;
    return Math.min(1, Math.max(0, record.scaledCost / equalShare - 1));
  }

  /** Removes the accounts that are no longer active. */
  refresh(nowMilliseconds: number): void {
    for (const [account, { atMilliseconds, scaledCost }] of this.records) {
      if (nowMilliseconds - atMilliseconds <= ACTIVITY_TIMEOUT_MILLISECONDS) {
        break;
      }
      this.records.delete(account);
      this.totalScaledCost -= scaledCost;
    }
    if (nowMilliseconds - this.landmarkMilliseconds > RESCALE_INTERVAL_MILLISECONDS) {
      this.rescale(nowMilliseconds);
    }
  }

  /** Moves the landmark to now. Recomputing the total also removes its rounding errors. */
  private rescale(nowMilliseconds: number): void {
    const elapsed = nowMilliseconds - this.landmarkMilliseconds;
    const factor = Math.exp(-elapsed / DECAY_TIME_CONSTANT_MILLISECONDS);
    this.totalScaledCost = 0;
    for (const record of this.records.values()) {
      record.scaledCost *= factor;
      this.totalScaledCost += record.scaledCost;
    }
    this.landmarkMilliseconds = nowMilliseconds;
  }
}
