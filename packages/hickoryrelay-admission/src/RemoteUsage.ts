/** Cost incurred by one client account, in milliseconds of engine time. */
export type AccountUsage = readonly [account: string, cost: number];

/**
 * Exchanges the accounts' costs with other instances. Late or lost costs only delay fairness
 * between instances.
 */
export abstract class RemoteUsage {
  /** Returns the costs received since the last call. An override returns each cost exactly once. */
  abstract takePending(): readonly AccountUsage[];

  /** Publishes cost incurred here to other instances; negative if an estimate was too high. */
  abstract publish(account: string, cost: number): void;
}

/** For an instance without peers. */
export class NoRemoteUsage extends RemoteUsage {
  override takePending(): readonly AccountUsage[] {
    return [];
  }

  override publish(): void {}
}

/** Accumulates costs pushed by other instances, such as digest rows, until they are taken. */
export class BufferedRemoteUsage extends RemoteUsage {
  private readonly pendingCosts = new Map<string, number>();

  private readonly publishCost: (account: string, cost: number) => void;

  constructor(publishCost: (account: string, cost: number) => void) {
    super();
    this.publishCost = publishCost;
  }

  override publish(account: string, cost: number): void {
    this.publishCost(account, cost);
  }

  add(usages: readonly AccountUsage[]): void {
    for (const [account, cost] of usages) {
      this.pendingCosts.set(account, (this.pendingCosts.get(account) ?? 0) + cost);
    }
  }

  override takePending(): readonly AccountUsage[] {
    const pending = [...this.pendingCosts];
    this.pendingCosts.clear();
    return pending;
  }
}
