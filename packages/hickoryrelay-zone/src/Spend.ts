const THOUSANDTHS = 1000;

/** Cost for an hour in whole thousandths of a budget unit, so that sums are exact. Rounds up. */
export function thousandthsOf(costPerHour: number): number {
  return Math.ceil(Math.round(costPerHour * THOUSANDTHS * THOUSANDTHS) / THOUSANDTHS);
}

/** The amounts of the shared budget that the zones have reserved. Immutable. */
export class Spend {
  private readonly byZone: Readonly<Record<string, number>>;

  constructor(byZone: Readonly<Record<string, number>> = {}) {
    this.byZone = byZone;
  }

  static parse(text: string | undefined): Spend {
    return new Spend(text === undefined ? {} : (JSON.parse(text) as Record<string, number>));
  }

  /** Reserved by all zones together, in thousandths for an hour. */
  get total(): number {
    return Object.values(this.byZone).reduce((sum, amount) => sum + amount, 0);
  }

  ofZone(zone: string): number {
    return this.byZone[zone] ?? 0;
  }

  /** With an amount added to a zone; a negative one takes it off, never below zero. */
  add(zone: string, amount: number): Spend {
    return new Spend({ ...this.byZone, [zone]: Math.max(0, this.ofZone(zone) + amount) });
  }

  serialize(): string {
    return JSON.stringify(this.byZone);
  }
}
