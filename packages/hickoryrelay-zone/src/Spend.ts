const THOUSANDTHS = 1000;

/** Converts a cost per hour to integer thousandths, so that sums are exact. Rounds up. */
export function toThousandths(costPerHour: number): number {
  return Math.ceil(Math.round(costPerHour * THOUSANDTHS * THOUSANDTHS) / THOUSANDTHS);
}

/** Immutable amounts of the shared budget that are reserved by each zone. */
export class Spend {
  private readonly amountByZone: Readonly<Record<string, number>>;

  constructor(amountByZone: Readonly<Record<string, number>> = {}) {
    this.amountByZone = amountByZone;
  }

  static parse(text: string | undefined): Spend {
    return new Spend(text === undefined ? {} : (JSON.parse(text) as Record<string, number>));
  }

  /** Amount reserved by all zones together, in thousandths per hour. */
  get total(): number {
    return Object.values(this.amountByZone).reduce((sum, amount) => sum + amount, 0);
  }

  forZone(zone: string): number {
    return this.amountByZone[zone] ?? 0;
  }

  /** Returns a copy with an amount added to a zone. The result of a negative amount is at least zero. */
  add(zone: string, amount: number): Spend {
    return new Spend({ ...this.amountByZone, [zone]: Math.max(0, this.forZone(zone) + amount) });
  }

  serialize(): string {
    return JSON.stringify(this.amountByZone);
  }
}
