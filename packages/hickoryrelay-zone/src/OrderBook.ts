import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError, failureOf, hasFailureKind } from 'hickoryrelay/RelayError';
import { OrderResponse, OrderProgress } from 'hickoryrelay-endpoint/EndpointOrder';

import { intentKey, intentsPrefix } from './ZoneKeyUtils.js';
import type { AuthorityTerm } from './AuthorityTerm.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { EndpointOrder, IssuedOrder } from 'hickoryrelay-endpoint/EndpointOrder';
import type { OrderLink } from 'hickoryrelay-link/OrderLink';
import type { KeyValue, KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';

/** Longest life of an order: from its intent until no endpoint may take it any more. */
export const LONGEST_ORDER_MILLISECONDS = 5000;

/** Allowed difference between the wall clocks of two machines. */
export const CLOCK_SKEW_MILLISECONDS = 1000;

const IDENTIFIER_BYTES = 8;

/** What became of an order. */
export const OrderOutcome = {
  /** The endpoint took it. */
  Taken: 'taken',
  /** It certainly had and will have no effect. */
  NoEffect: 'no-effect',
  /** Its intent stays open until a read of the endpoint's state settles it. */
  Open: 'open',
} as const;

export type OrderOutcome = (typeof OrderOutcome)[keyof typeof OrderOutcome];

/** What an order book is made of. It lives as long as its term. */
export interface OrderBookParts {
  readonly term: AuthorityTerm;
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Opens the ordering connection of an endpoint; undefined if the endpoint is gone. */
  readonly openLink: (endpoint: string, check: () => void) => OrderLink | undefined;
}

/**
 * The orders of one term to the endpoints of its zone. An order is written as an intent under the
 * condition that the term holds the authority key, then sent, then settled by the answer or by
 * reading the endpoint's state. `begin` must have returned before the first order.
 *
 * What protects an endpoint depends on what it checks:
 * - An endpoint that checks fencing numbers refuses orders of a predecessor once it has taken one
 *   of the successor.
 * - An endpoint that checks deadlines refuses orders after the end of the term, because no deadline
 *   is later than the end of its term. This needs wall clocks within `CLOCK_SKEW_MILLISECONDS`.
 * - For an endpoint that checks neither, there is one ordering connection for each term, closed when
 *   the term ends; nothing is written to it unless the term is held in that tick; no order is sent
 *   without reading the endpoint's state first; and a successor sends nothing until
 *   `LONGEST_ORDER_MILLISECONDS` and the clock skew have passed since it took over.
 *
 * The remaining risks: (1) an endpoint that checks neither takes an order that the network, or the
 * kernel's send buffer, held for longer than the longest life of an order, and so out of order with
 * orders of the successor; (2) such an endpoint takes an order after the term has ended but before
 * the successor's first one; (3) an endpoint that checks only deadlines and whose clock is behind
 * by more than the allowed skew does the same; (4) a process that is stopped by the kernel between
 * the check and the system call of the same tick, for longer than margin and wait together.
 */
export class OrderBook {
  private readonly parts: OrderBookParts;

  private readonly links = new Map<string, OrderLink>();

  /**
   * Monotonic times from which this term's orders, by identifier, can no longer arrive. Not from the
   * deadline, because the wall clock may be set and not every endpoint checks it.
   */
  private readonly endsOfLife = new Map<string, number>();

  private isReady = false;

  constructor(parts: OrderBookParts) {
    this.parts = parts;
    parts.term.signal.addEventListener('abort', () => this.close(), { once: true });
  }

  /**
   * Waits until no order of a predecessor can still be under way, then settles its open intents.
   * Only then may orders be issued.
   */
  async begin(signal: AbortSignal): Promise<void> {
    await this.parts.clock.sleep(LONGEST_ORDER_MILLISECONDS + CLOCK_SKEW_MILLISECONDS, signal);
    await this.settleOpen();
    this.isReady = true;
  }

  /**
   * Issues an order. Throws `authority-lost` when the term has ended, and `overloaded` if the
   * endpoint has an open order or is still busy with one.
   */
  async issue(endpoint: string, order: EndpointOrder): Promise<OrderOutcome> {
    if (!this.isReady) {
      throw this.busy(endpoint, 'the orders of the predecessor are not settled');
    }
    const { term, clock, random } = this.parts;
    term.assertHeld();
    const lifeMilliseconds = Math.min(LONGEST_ORDER_MILLISECONDS, term.remainingMilliseconds);
    const issued: IssuedOrder = {
      identifier: random.identifier(IDENTIFIER_BYTES),
      endpoint,
      order,
      fencingNumber: term.fencingNumber,
      deadlineMilliseconds: clock.wallMilliseconds() + lifeMilliseconds,
    };
    const link = this.link(endpoint);
    if (link === undefined) {
      return OrderOutcome.NoEffect;
    }
    const endMilliseconds = clock.monotonicMilliseconds() + LONGEST_ORDER_MILLISECONDS;
    this.endsOfLife.set(issued.identifier, endMilliseconds + CLOCK_SKEW_MILLISECONDS);
    const modRevision = await this.writeIntent(issued);
    const outcome = await this.send(link, issued);
    if (outcome !== OrderOutcome.Open) {
      await this.deleteIntent(endpoint, modRevision);
      this.endsOfLife.delete(issued.identifier);
    }
    return outcome;
  }

  /**
   * Settles open intents whose orders can no longer be taken, by reading the endpoints' state.
   * Returns the number of intents that remain open.
   */
  async settleOpen(): Promise<number> {
    const { store, term } = this.parts;
    const { values } = await store.range(intentsPrefix(term.zone), { prefix: true });
    let open = 0;
    for (const stored of values) {
      const isSettled = await this.settle(stored, JSON.parse(stored.value) as IssuedOrder);
      open += isSettled ? 0 : 1;
    }
    return open;
  }

  /** Closes the ordering connections. */
  close(): void {
    const links = [...this.links.values()];
    this.links.clear();
    links.forEach((link) => {
      void link.close();
    });
  }

  private link(endpoint: string): OrderLink | undefined {
    const { term, openLink } = this.parts;
    term.assertHeld();
    let link = this.links.get(endpoint);
    if (link === undefined) {
      link = openLink(endpoint, () => term.assertHeld());
      if (link !== undefined) {
        this.links.set(endpoint, link);
      }
    }
    return link;
  }

  /** Writes the intent and returns its revision. A lost answer is resolved by reading. */
  private async writeIntent(issued: IssuedOrder): Promise<number> {
    const { store, term } = this.parts;
    const { endpoint } = issued;
    const key = intentKey(term.zone, endpoint);
    const value = JSON.stringify(issued);
    try {
      const result = await store.commit({
        compare: [term.comparison, { key, target: 'create-revision', operand: 0 }],
        success: [{ type: 'put', key, value }],
        failure: [],
      });
      if (result.succeeded) {
        return result.revision;
      }
    } catch (error) {
      const stored = await store.get(key);
      if (stored?.value !== value) {
        throw error;
      }
      return stored.modRevision;
    }
    throw this.busy(endpoint, 'an order is open or the authority was taken over');
  }

  private async send(link: OrderLink, issued: IssuedOrder): Promise<OrderOutcome> {
    try {
      const state = await link.readState();
      if (state.progress === OrderProgress.Running) {
        return OrderOutcome.NoEffect;
      }
    } catch {
      return OrderOutcome.NoEffect;
    }
    if (this.hasExpired(issued)) {
      return OrderOutcome.NoEffect;
    }
    const lifeMilliseconds = LONGEST_ORDER_MILLISECONDS + CLOCK_SKEW_MILLISECONDS;
    const endOrder = this.parts.term.beginOrder(lifeMilliseconds);
    const outcome = await this.sendOnce(link, issued);
    if (outcome !== OrderOutcome.Open) {
      endOrder();
    }
    return outcome;
  }

  private async sendOnce(link: OrderLink, issued: IssuedOrder): Promise<OrderOutcome> {
    try {
      const answer = await link.send(issued);
      if (answer === OrderResponse.RefusedAsFenced) {
        this.parts.term.end();
      }
      return answer === OrderResponse.Taken ? OrderOutcome.Taken : OrderOutcome.NoEffect;
    } catch (error) {
      const failure = failureOf(error);
      const isUnsent =
        hasFailureKind(error, FailureKind.AuthorityLost) ||
        (failure.kind === FailureKind.EndpointFailed && !failure.mayHaveRun);
      if (isUnsent) {
        return OrderOutcome.NoEffect;
      }
      return this.resolve(link, issued);
    }
  }

  /** Reads whether an order whose answer was lost was taken; it may still be on its way if not. */
  private async resolve(link: OrderLink, issued: IssuedOrder): Promise<OrderOutcome> {
    try {
      const state = await link.readState();
      return state.lastOrder === issued.identifier ? OrderOutcome.Taken : OrderOutcome.Open;
    } catch {
      return OrderOutcome.Open;
    }
  }

  private async settle(stored: KeyValue, issued: IssuedOrder): Promise<boolean> {
    // A predecessor's orders can no longer arrive once `begin` has waited.
    const endOfLife = this.endsOfLife.get(issued.identifier) ?? 0;
    const mayStillArrive = this.parts.clock.monotonicMilliseconds() < endOfLife;
    if (mayStillArrive) {
      return false;
    }
    const link = this.link(issued.endpoint);
    if (link !== undefined) {
      try {
        const state = await link.readState();
        if (state.progress === OrderProgress.Running) {
          return false;
        }
      } catch {
        return false;
      }
    }
    await this.deleteIntent(issued.endpoint, stored.modRevision);
    this.endsOfLife.delete(issued.identifier);
    return true;
  }

  private hasExpired(issued: IssuedOrder): boolean {
    return this.parts.clock.wallMilliseconds() >= issued.deadlineMilliseconds;
  }

  /** Deletes an intent. If the answer is lost, `settleOpen` finds what is left. */
  private async deleteIntent(endpoint: string, modRevision: number): Promise<void> {
    const { store, term } = this.parts;
    const key = intentKey(term.zone, endpoint);
    try {
      await store.commit({
        compare: [term.comparison, { key, target: 'mod-revision', operand: modRevision }],
        success: [{ type: 'delete', key }],
        failure: [],
      });
    } catch (error) {
      if (!hasFailureKind(error, FailureKind.PlatformUnavailable)) {
        throw error;
      }
    }
  }

  private busy(endpoint: string, reason: string): RelayError {
    return new RelayError({
      kind: FailureKind.Overloaded,
      reason: `endpoint ${endpoint} takes no order: ${reason}`,
      retryAfterSeconds: LONGEST_ORDER_MILLISECONDS / 1000,
    });
  }
}
