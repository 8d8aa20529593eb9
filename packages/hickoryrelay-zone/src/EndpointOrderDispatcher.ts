import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError, failureOf, hasFailureKind } from 'hickoryrelay/RelayError';
import { OrderResponse, OrderProgress } from 'hickoryrelay-endpoint/EndpointOrder';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

import { intentKey, intentsPrefix } from './ZoneKeyUtils.js';
import type { AuthorityTerm } from './AuthorityTerm.js';
import type { FencingFloor } from './FencingFloor.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { EndpointOrder, IssuedOrder } from 'hickoryrelay-endpoint/EndpointOrder';
import type { OrderLink } from 'hickoryrelay-link/OrderLink';
import type { KeyValue, KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';

/** Time from the intent of an order until no endpoint may accept the order any more. */
export const ORDER_TIME_TO_LIVE_MILLISECONDS = 5000;

/** Tolerated difference between the wall clocks of two machines. */
export const MAXIMUM_CLOCK_SKEW_MILLISECONDS = 1000;

const IDENTIFIER_BYTES = 8;

/** Outcome of an order. */
export const OrderOutcome = {
  /** The endpoint accepted the order. */
  Taken: 'taken',
  /** The order has had no effect and cannot have one later. */
  NoEffect: 'no-effect',
  /** Unknown. The intent stays open until it is resolved by reading the endpoint's state. */
  Open: 'open',
} as const;

export type OrderOutcome = (typeof OrderOutcome)[keyof typeof OrderOutcome];

/** Collaborators of a dispatcher, which has the lifetime of its term. */
export interface EndpointOrderDispatcherParts {
  readonly term: AuthorityTerm;
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Opens the order connection to an endpoint; returns undefined if the endpoint is gone. */
  readonly openLink: (endpoint: string, check: () => void) => OrderLink | undefined;
  /** Records the fencing numbers that endpoints state. */
  readonly floor?: FencingFloor;
}

/**
 * Dispatches the orders of one term to the endpoints of its zone. An intent is written before an
 * order is sent, in a transaction that requires the authority key to belong to the term. The intent
 * is resolved by the response or by reading the endpoint's state. Call `recover` before the first
 * order.
 *
 * The protection against orders of a previous term depends on what an endpoint checks:
 * - An endpoint that checks fencing numbers refuses orders of a previous term once it has accepted
 *   an order of the new term.
 * - An endpoint that checks deadlines refuses orders after the end of their term, because no deadline
 *   is later than that. This requires wall clocks within `MAXIMUM_CLOCK_SKEW_MILLISECONDS`.
 * - For an endpoint that checks neither, each term uses a single order connection, which is closed
 *   when the term ends. Nothing is written to it unless the term is held in the same tick. The
 *   endpoint's state is read before each order. A new term sends no order until
 *   `ORDER_TIME_TO_LIVE_MILLISECONDS` plus the clock skew have passed since its start.
 *
 * Remaining risks:
 * 1. An endpoint that checks neither accepts an order that was delayed in the network or in the
 *    kernel's send buffer for longer than its time to live, and thus after orders of the new term.
 * 2. Such an endpoint accepts an order after the end of its term, before the first order of the new
 *    term.
 * 3. An endpoint that checks only deadlines does the same if its clock is behind by more than the
 *    tolerated skew.
 * 4. The kernel suspends the process between the check and the system call of the same tick for
 *    longer than the lease margin and the wait of the new term together.
 */
export class EndpointOrderDispatcher {
  private readonly parts: EndpointOrderDispatcherParts;

  private readonly links = new Map<string, OrderLink>();

  /**
   * Monotonic time after which an order of this term can no longer arrive, by order identifier. Not
   * derived from the deadline, because the wall clock may be adjusted and not every endpoint checks
   * deadlines.
   */
  private readonly expiryByOrder = new Map<string, number>();

  /** Endpoints to which an order of this term has been sent. */
  private readonly orderedEndpoints = new Set<string>();

  private isReady = false;

  constructor(parts: EndpointOrderDispatcherParts) {
    this.parts = parts;
    parts.term.signal.addEventListener('abort', () => this.close(), { once: true });
  }

  /**
   * Waits until no order of a previous term can still arrive, then resolves the open intents. No
   * order can be issued before that.
   */
  async recover(signal: AbortSignal): Promise<void> {
    await this.parts.clock.sleep(
      ORDER_TIME_TO_LIVE_MILLISECONDS + MAXIMUM_CLOCK_SKEW_MILLISECONDS,
      signal,
    );
    await this.resolveOpenIntents();
    this.isReady = true;
  }

  /**
   * Issues an order. Throws `authority-lost` if the term has ended, and `overloaded` if the endpoint
   * has an open intent. Has no effect if the endpoint is still carrying out an order.
   */
  async issue(endpoint: string, order: EndpointOrder): Promise<OrderOutcome> {
    if (!this.isReady) {
      throw this.overloaded(endpoint, 'the orders of the previous term are not resolved');
    }
    const { term, clock, random } = this.parts;
    term.assertHeld();
    const timeToLiveMilliseconds = Math.min(
      ORDER_TIME_TO_LIVE_MILLISECONDS,
      term.remainingMilliseconds,
    );
    const issued: IssuedOrder = {
      identifier: random.identifier(IDENTIFIER_BYTES),
      endpoint,
      order,
      fencingNumber: term.fencingNumber,
      deadlineMilliseconds: clock.wallMilliseconds() + timeToLiveMilliseconds,
    };
    const link = this.link(endpoint);
    if (link === undefined) {
      return OrderOutcome.NoEffect;
    }
    const expiresAtMilliseconds = clock.monotonicMilliseconds() + ORDER_TIME_TO_LIVE_MILLISECONDS;
    this.expiryByOrder.set(
      issued.identifier,
      expiresAtMilliseconds + MAXIMUM_CLOCK_SKEW_MILLISECONDS,
    );
    const modRevision = await this.writeIntent(issued);
    const outcome = await this.send(link, issued);
    if (outcome !== OrderOutcome.Open) {
      await this.deleteIntent(endpoint, modRevision);
      this.expiryByOrder.delete(issued.identifier);
    }
    return outcome;
  }

  /**
   * Resolves open intents whose orders can no longer arrive by reading the state of the endpoints.
   * Returns the number of intents that remain open.
   */
  async resolveOpenIntents(): Promise<number> {
    const { store, term } = this.parts;
    const { values } = await store.range(intentsPrefix(term.zone), { prefix: true });
    let openCount = 0;
    for (const stored of values) {
      const isResolved = await this.resolveIntent(stored, JSON.parse(stored.value) as IssuedOrder);
      openCount += isResolved ? 0 : 1;
    }
    return openCount;
  }

  /** Closes the order connections. */
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

  /** Writes the intent and returns its revision. After a lost response, reads whether it is stored. */
  private async writeIntent(issued: IssuedOrder): Promise<StoreRevision> {
    const { store, term } = this.parts;
    const { endpoint } = issued;
    const key = intentKey(term.zone, endpoint);
    const value = JSON.stringify(issued);
    try {
      const result = await store.commit({
        compare: [
          term.holderComparison,
          { key, target: 'create-revision', operand: StoreRevision.None },
        ],
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
    throw this.overloaded(endpoint, 'an order is open or the authority was taken over');
  }

  private async send(link: OrderLink, issued: IssuedOrder): Promise<OrderOutcome> {
    try {
      const state = await link.readState();
      if (this.isNumberOfOtherTerm(issued, state.fencingNumber)) {
        this.parts.term.end();
        return OrderOutcome.NoEffect;
      }
      if (state.progress === OrderProgress.Running) {
        return OrderOutcome.NoEffect;
      }
    } catch {
      return OrderOutcome.NoEffect;
    }
    if (this.hasExpired(issued)) {
      return OrderOutcome.NoEffect;
    }
    const timeToLiveMilliseconds =
      ORDER_TIME_TO_LIVE_MILLISECONDS + MAXIMUM_CLOCK_SKEW_MILLISECONDS;
    const markOrderResolved = this.parts.term.trackOrder(timeToLiveMilliseconds);
    const outcome = await this.sendOnce(link, issued);
    if (outcome !== OrderOutcome.Open) {
      markOrderResolved();
    }
    return outcome;
  }

  /**
   * Records the number that an endpoint states. It proves that the number of this term has been assigned
   * before if it is higher, or equal although the endpoint has had no order of this term. A store that
   * was restored from an older copy assigns numbers again.
   */
  private isNumberOfOtherTerm({ endpoint }: IssuedOrder, statedNumber: number): boolean {
    const { term, floor } = this.parts;
    floor?.record(statedNumber);
    return (
      statedNumber > term.fencingNumber ||
      (statedNumber === term.fencingNumber && !this.orderedEndpoints.has(endpoint))
    );
  }

  private async sendOnce(link: OrderLink, issued: IssuedOrder): Promise<OrderOutcome> {
    this.orderedEndpoints.add(issued.endpoint);
    try {
      const response = await link.send(issued);
      if (response === OrderResponse.RefusedAsFenced) {
        this.parts.term.end();
      }
      return response === OrderResponse.Taken ? OrderOutcome.Taken : OrderOutcome.NoEffect;
    } catch (error) {
      const failure = failureOf(error);
      const wasNotSent =
        hasFailureKind(error, FailureKind.AuthorityLost) ||
        (failure.kind === FailureKind.EndpointFailed && !failure.mayHaveRun);
      if (wasNotSent) {
        return OrderOutcome.NoEffect;
      }
      return this.resolveLostResponse(link, issued);
    }
  }

  /**
   * Reads whether an order without a response was accepted. If not, the order may still arrive, so
   * its outcome remains open.
   */
  private async resolveLostResponse(link: OrderLink, issued: IssuedOrder): Promise<OrderOutcome> {
    try {
      const state = await link.readState();
      return state.lastOrder === issued.identifier ? OrderOutcome.Taken : OrderOutcome.Open;
    } catch {
      return OrderOutcome.Open;
    }
  }

  private async resolveIntent(stored: KeyValue, issued: IssuedOrder): Promise<boolean> {
    // Orders of previous terms have no entry; they can no longer arrive after the wait in `recover`.
    const expiresAtMilliseconds = this.expiryByOrder.get(issued.identifier) ?? 0;
    const mayStillArrive = this.parts.clock.monotonicMilliseconds() < expiresAtMilliseconds;
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
    this.expiryByOrder.delete(issued.identifier);
    return true;
  }

  private hasExpired(issued: IssuedOrder): boolean {
    return this.parts.clock.wallMilliseconds() >= issued.deadlineMilliseconds;
  }

  /** Deletes an intent. If that fails, `resolveOpenIntents` resolves the intent later. */
  private async deleteIntent(endpoint: string, modRevision: StoreRevision): Promise<void> {
    const { store, term } = this.parts;
    const key = intentKey(term.zone, endpoint);
    try {
      await store.commit({
        compare: [term.holderComparison, { key, target: 'mod-revision', operand: modRevision }],
        success: [{ type: 'delete', key }],
        failure: [],
      });
    } catch (error) {
      if (!hasFailureKind(error, FailureKind.PlatformUnavailable)) {
        throw error;
      }
    }
  }

  private overloaded(endpoint: string, reason: string): RelayError {
    return new RelayError({
      kind: FailureKind.Overloaded,
      reason: `cannot order endpoint ${endpoint}: ${reason}`,
      retryAfterSeconds: ORDER_TIME_TO_LIVE_MILLISECONDS / 1000,
    });
  }
}
