import type { Exchange } from './Exchange.js';
import type { RelayError } from 'hickoryrelay/RelayError';

/** The exchanges in progress at this instance. */
export class ExchangeTable {
  private readonly exchanges = new Set<Exchange>();

  private readonly waiters = new Set<() => void>();

  get size(): number {
    return this.exchanges.size;
  }

  /** Request identifiers of all exchanges in progress. */
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

  /** Cancels the exchanges for which `reasonFor` returns a reason. */
  cancelWhere(reasonFor: (exchange: Exchange) => RelayError | undefined): void {
    for (const exchange of this.exchanges) {
      const reason = reasonFor(exchange);
      if (reason !== undefined) {
        exchange.cancel(reason);
      }
    }
  }

  /** Resolves when no exchange is in progress. */
  async whenEmpty(): Promise<void> {
    if (this.exchanges.size > 0) {
      await new Promise<void>((resolve) => {
        this.waiters.add(resolve);
      });
    }
  }
}
