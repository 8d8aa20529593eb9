/** Cost that one client account used, in milliseconds of engine time. */
export type AccountUse = readonly [account: string, cost: number];

/**
 * Cost that accounts used at other instances. An override returns each cost once: what became
 * known since the last call. Late or lost figures delay fairness between instances, nothing else.
 */
export abstract class RemoteUse {
  abstract take(): readonly AccountUse[];

  /** Lets other instances know of cost used here; negative if an estimate was too high. */
  abstract publish(account: string, cost: number): void;
}

/** No other instance is known. */
export class NoRemoteUse extends RemoteUse {
  override take(): readonly AccountUse[] {
    return [];
  }

  override publish(): void {}
}

/** Collects figures that others push, such as the rows of a digest, until they are taken. */
export class CollectedRemoteUse extends RemoteUse {
  private readonly costsByAccount = new Map<string, number>();

  private readonly publisher: (account: string, cost: number) => void;

  constructor(publisher: (account: string, cost: number) => void) {
    super();
    this.publisher = publisher;
  }

  override publish(account: string, cost: number): void {
    this.publisher(account, cost);
  }

  add(uses: readonly AccountUse[]): void {
    for (const [account, cost] of uses) {
      this.costsByAccount.set(account, (this.costsByAccount.get(account) ?? 0) + cost);
    }
  }

  override take(): readonly AccountUse[] {
    const taken = [...this.costsByAccount];
    this.costsByAccount.clear();
    return taken;
  }
}
