import type { Exchange } from './Exchange.js';
import type { RelayError } from 'hickoryrelay/RelayError';

/** The calls that run at this instance. */
export class ExchangeTable {
  private readonly exchanges = new Set<Exchange>();

  private readonly waiters = new Set<() => void>();

  get size(): number {
    return this.exchanges.size;
  }

  /** Request identifiers of all calls that run. */
  get requestIdentifiers(): string[] {
    return [...this.exchanges].map((exchange) => exchange.call.requestIdentifier);
  }

  add(exchange: Exchange): void {
    this.exchanges.add(exchange);
  }

  remove(exchange: Exchange): void {
    this.exchanges.delete(exchange);
    if (this.exchanges.size === 0) {
      this.waiters.forEach((notify) => notify());
      this.waiters.clear();
    }
  }

  /** Cancels the calls for which a reason is given. */
  cancelWhere(reasonFor: (exchange: Exchange) => RelayError | undefined): void {
    for (const exchange of this.exchanges) {
      const reason = reasonFor(exchange);
      if (reason !== undefined) {
        exchange.cancel(reason);
      }
    }
  }

  /** Resolves when no call runs. */
  async whenEmpty(): Promise<void> {
    if (this.exchanges.size > 0) {
      await new Promise<void>((resolve) => {
        this.waiters.add(resolve);
      });
    }
  }
}
