/** With 10 s, an account that was held back for a few seconds soon took the reserved room again. */
const TIME_CONSTANT_MILLISECONDS = 30_000;

/** An account without use for this long is not active, and takes no part in the equal part. */
const ACTIVE_MILLISECONDS = 10_000;

/** The scale of the figures grows by a factor of e^10 until they are divided by it again. */
const RESCALE_MILLISECONDS = 300_000;

interface AccountUseRecord {
  /** Cost weighted by e^((t - origin) / time constant), so that records of any age compare. */
  weighted: number;
  atMilliseconds: number;
}

/**
 * What the active accounts used in the last seconds, here and at other instances, with more weight
 * on newer use. All figures decay alike, so they are kept without decay in a scale that grows.
 */
export class RecentUse {
  /** In the order of the last use, so that inactive accounts are found first. */
  private readonly records = new Map<string, AccountUseRecord>();

  private total = 0;

  private originMilliseconds = 0;

  /** Records a call that arrived: its account is active, whether the call starts or not. */
  arrive(account: string, nowMilliseconds: number): void {
    this.refresh(nowMilliseconds);
    const weighted = this.records.get(account)?.weighted ?? 0;
    this.records.delete(account);
    this.records.set(account, { weighted, atMilliseconds: nowMilliseconds });
  }

  /** Records cost, or gives back an over-estimate if negative. Only cost makes an account active. */
  record(account: string, cost: number, nowMilliseconds: number): void {
    this.refresh(nowMilliseconds);
    const known = this.records.get(account);
    if (known === undefined && cost <= 0) {
      return;
    }
    const scale = Math.exp(
      (nowMilliseconds - this.originMilliseconds) / TIME_CONSTANT_MILLISECONDS,
    );
    const before = known?.weighted ?? 0;
    const weighted = Math.max(0, before + cost * scale);
    this.total += weighted - before;
    if (known === undefined || cost > 0) {
      this.records.delete(account);
      this.records.set(account, { weighted, atMilliseconds: nowMilliseconds });
    } else {
      known.weighted = weighted;
    }
  }

  /**
   * 0 up to an equal part of the use of all active accounts, 1 from twice that part on. As of the
   * last refresh.
   */
  excess(account: string): number {
    const record = this.records.get(account);
    if (record === undefined || this.records.size < 2 || this.total <= 0) {
      return 0;
    }
    const equalPart = this.total / this.records.size;
    return Math.min(1, Math.max(0, record.weighted / equalPart - 1));
  }

  /** Leaves out the accounts that are no longer active. */
  refresh(nowMilliseconds: number): void {
    for (const [account, { atMilliseconds, weighted }] of this.records) {
      if (nowMilliseconds - atMilliseconds <= ACTIVE_MILLISECONDS) {
        break;
      }
      this.records.delete(account);
      this.total -= weighted;
    }
    if (nowMilliseconds - this.originMilliseconds > RESCALE_MILLISECONDS) {
      this.rescale(nowMilliseconds);
    }
  }

  /** Also removes the rounding errors of the total. */
  private rescale(nowMilliseconds: number): void {
    const elapsed = nowMilliseconds - this.originMilliseconds;
    const factor = Math.exp(-elapsed / TIME_CONSTANT_MILLISECONDS);
    this.total = 0;
    for (const record of this.records.values()) {
      record.weighted *= factor;
      this.total += record.weighted;
    }
    this.originMilliseconds = nowMilliseconds;
  }
}
