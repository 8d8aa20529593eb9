import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError, failureOf, hasFailureKind } from 'hickoryrelay/RelayError';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';

import {
  MAXIMUM_CLOCK_SKEW_MILLISECONDS,
  ORDER_TIME_TO_LIVE_MILLISECONDS,
  OrderOutcome,
} from './EndpointOrderDispatcher.js';
import { Spend, toThousandths } from './Spend.js';
import {
  SPEND_KEY,
  suppliedKey,
  suppliedPrefix,
  supplyIntentKey,
  supplyIntentsPrefix,
} from './ZoneKeyUtils.js';
import type { AuthorityTerm } from './AuthorityTerm.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { EndpointKind } from 'hickoryrelay-contract/EndpointKind';
import type {
  EndpointSupply,
  ReleaseOrder,
  SuppliedEndpoint,
  SupplyOrder,
} from 'hickoryrelay-platform/EndpointSupply';
import type {
  Comparison,
  KeyValue,
  KeyValueStore,
  Operation,
} from 'hickoryrelay-platform/KeyValueStore';

const IDENTIFIER_BYTES = 8;

/** Attempts to update the spend by compare-and-swap while other zones update it concurrently. */
const COMPARE_AND_SWAP_ATTEMPTS = 8;

/**
 * An endpoint that was ordered longer ago than this and is not listed has been reclaimed. Lead times
 * and the delay of the list are shorter.
 */
const MAXIMUM_LISTING_LAG_MILLISECONDS = 900_000;

/** Types of order to the platform's endpoint supply. */
export const SupplyOrderType = { Order: 'order', Release: 'release' } as const;

export type SupplyOrderType = (typeof SupplyOrderType)[keyof typeof SupplyOrderType];

export interface SupplyIntent {
  readonly type: SupplyOrderType;
  readonly idempotencyKey: string;
  /** Kind of an ordered endpoint, or identifier of a released one. */
  readonly subject: string;
  /** Idempotency key of the order that created a released endpoint. */
  readonly orderKey?: string;
  /** Amount reserved for an order, in thousandths per hour. */
  readonly amount: number;
  readonly fencingNumber: number;
  readonly deadlineMilliseconds: number;
}

/** An order that took effect and whose endpoint is still paid for. */
export interface SuppliedRecord {
  readonly kind: string;
  readonly amount: number;
  readonly orderedMilliseconds: number;
}

/** Collaborators of a dispatcher, which has the lifetime of its term. */
export interface SupplyOrderDispatcherParts {
  readonly term: AuthorityTerm;
  readonly store: KeyValueStore;
  readonly supply: EndpointSupply;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/**
 * Dispatches the orders of one term to the platform's endpoint supply. The spend is reserved in the
 * transaction that writes the intent, and returned in the transaction that resolves it, so that both
 * are consistent after a crash at any point. A lost response is resolved by reading the platform's
 * effective orders. An order that is not among them has had no effect only if it can no longer
 * arrive. Call `recover` before the first order.
 *
 * Remaining risk: a platform that checks neither fencing numbers nor deadlines accepts an order that
 * was delayed in the network for longer than its time to live, after its spend was returned.
 */
export class SupplyOrderDispatcher {
  private readonly parts: SupplyOrderDispatcherParts;

  /** Monotonic time after which an order of this term can no longer arrive, by idempotency key. */
  private readonly expiryByOrder = new Map<string, number>();

  private isReady = false;

  constructor(parts: SupplyOrderDispatcherParts) {
    this.parts = parts;
  }

  /** Waits until no order of a previous term can still arrive, then resolves the open intents. */
  async recover(signal: AbortSignal): Promise<void> {
    await this.parts.clock.sleep(
      ORDER_TIME_TO_LIVE_MILLISECONDS + MAXIMUM_CLOCK_SKEW_MILLISECONDS,
      signal,
    );
    await this.resolveOpenIntents();
    this.isReady = true;
  }

  /**
   * Orders one endpoint if the total spend stays within the limit, in thousandths per hour. Throws
   * `overloaded` otherwise.
   */
  async order(kind: EndpointKind, limit: number): Promise<OrderOutcome> {
    const idempotencyKey = this.parts.random.identifier(IDENTIFIER_BYTES);
    const amount = toThousandths(kind.costPerHour);
    const intent = this.createIntent(SupplyOrderType.Order, idempotencyKey, kind.name, {
      amount,
    });
    const stored = await this.reserve(intent, limit);
    return this.send(intent, stored, (check) =>
      this.parts.supply.order({ ...this.commonFields(intent), kind: kind.name }, check),
    );
  }

  /** Releases an endpoint. Idempotent, because the idempotency key is derived from the endpoint. */
  async release(endpoint: SuppliedEndpoint): Promise<OrderOutcome> {
    const intent = this.createIntent(
      SupplyOrderType.Release,
      `release-${endpoint.identifier}`,
      endpoint.identifier,
      { amount: 0, ...(endpoint.orderKey === undefined ? {} : { orderKey: endpoint.orderKey }) },
    );
    // The spend of an order can be returned only after the intent of that order is resolved.
    const { orderKey } = endpoint;
    const orderIsResolved: Comparison[] =
      orderKey === undefined
        ? []
        : [
            {
              key: supplyIntentKey(this.parts.term.zone, orderKey),
              target: 'create-revision',
              operand: StoreRevision.None,
            },
          ];
    const stored = await this.writeIntent(intent, orderIsResolved, []);
    if (stored === undefined) {
      throw this.refused('an order for the endpoint is open or the authority was taken over');
    }
    return this.send(intent, stored, (check) =>
      this.parts.supply.release(
        { ...this.commonFields(intent), endpoint: endpoint.identifier },
        check,
      ),
    );
  }

  /**
   * Resolves open intents by reading the platform's effective orders. Returns the number of intents
   * that remain open.
   */
  async resolveOpenIntents(): Promise<number> {
    const { store, supply, term, clock } = this.parts;
    const requestedMilliseconds = clock.monotonicMilliseconds();
    const { values } = await store.range(supplyIntentsPrefix(term.zone), { prefix: true });
    if (values.length === 0) {
      return 0;
    }
    const effective = new Set(await supply.listEffectiveOrders(term.zone));
    let openCount = 0;
    for (const stored of values) {
      const intent = JSON.parse(stored.value) as SupplyIntent;
      // Orders of previous terms have no entry; they can no longer arrive after the wait in `recover`.
      const expiresAtMilliseconds = this.expiryByOrder.get(intent.idempotencyKey) ?? 0;
      const mayStillArrive = requestedMilliseconds < expiresAtMilliseconds;
      const isEffective = effective.has(intent.idempotencyKey);
      const isResolved =
        (isEffective || !mayStillArrive) && (await this.resolveIntent(intent, stored, isEffective));
      openCount += isResolved ? 0 : 1;
      if (isResolved) {
        this.expiryByOrder.delete(intent.idempotencyKey);
      }
    }
    return openCount;
  }

  /** Releases the spend of reclaimed endpoints. Returns the number of these endpoints. */
  async reconcile(): Promise<number> {
    const { store, supply, term, clock } = this.parts;
    const listed = await supply.list(term.zone);
    const listedOrderKeys = new Set(listed.map((endpoint) => endpoint.orderKey));
    const prefix = suppliedPrefix(term.zone);
    const { values } = await store.range(prefix, { prefix: true });
    let reclaimed = 0;
    for (const stored of values) {
      const record = JSON.parse(stored.value) as SuppliedRecord;
      const age = clock.wallMilliseconds() - record.orderedMilliseconds;
      if (
        !listedOrderKeys.has(stored.key.slice(prefix.length)) &&
        age > MAXIMUM_LISTING_LAG_MILLISECONDS
      ) {
        const isReturned = await this.updateSpend(
          -record.amount,
          [{ key: stored.key, target: 'mod-revision', operand: stored.modRevision }],
          [{ type: 'delete', key: stored.key }],
        );
        reclaimed += isReturned ? 1 : 0;
      }
    }
    return reclaimed;
  }

  async readSpend(): Promise<Spend> {
    return Spend.parse((await this.parts.store.get(SPEND_KEY))?.value);
  }

  private createIntent(
    type: SupplyOrderType,
    idempotencyKey: string,
    subject: string,
    rest: { amount: number; orderKey?: string },
  ): SupplyIntent {
    const { term, clock } = this.parts;
    if (!this.isReady) {
      throw this.refused('the orders of the previous term are not resolved');
    }
    term.assertHeld();
    const expiresAtMilliseconds = clock.monotonicMilliseconds() + ORDER_TIME_TO_LIVE_MILLISECONDS;
    this.expiryByOrder.set(idempotencyKey, expiresAtMilliseconds + MAXIMUM_CLOCK_SKEW_MILLISECONDS);
    return {
      type,
      idempotencyKey,
      subject,
      ...rest,
      fencingNumber: term.fencingNumber,
      deadlineMilliseconds:
        clock.wallMilliseconds() +
        Math.min(ORDER_TIME_TO_LIVE_MILLISECONDS, term.remainingMilliseconds),
    };
  }

  private commonFields(
    intent: SupplyIntent,
  ): Omit<SupplyOrder, 'kind'> & Omit<ReleaseOrder, 'endpoint'> {
    const { idempotencyKey, fencingNumber, deadlineMilliseconds } = intent;
    return { idempotencyKey, zone: this.parts.term.zone, fencingNumber, deadlineMilliseconds };
  }

  /** Reserves the amount and writes the intent in one transaction. */
  private async reserve(intent: SupplyIntent, limit: number): Promise<KeyValue> {
    const { store, term } = this.parts;
    for (let attempt = 0; attempt < COMPARE_AND_SWAP_ATTEMPTS; attempt += 1) {
      const current = await store.get(SPEND_KEY);
      const spend = Spend.parse(current?.value).add(term.zone, intent.amount);
      if (spend.total > limit) {
        throw this.refused('the cost of the endpoint exceeds the remaining budget');
      }
      const stored = await this.writeIntent(
        intent,
        [
          {
            key: SPEND_KEY,
            target: 'mod-revision',
            operand: current?.modRevision ?? StoreRevision.None,
          },
        ],
        [{ type: 'put', key: SPEND_KEY, value: spend.serialize() }],
      );
      if (stored !== undefined) {
        return stored;
      }
      term.assertHeld();
    }
    throw this.refused('other zones updated the spend concurrently in every attempt');
  }

  /** Returns the stored intent, or undefined if a comparison failed. */
  private async writeIntent(
    intent: SupplyIntent,
    compare: readonly Comparison[],
    operations: readonly Operation[],
  ): Promise<KeyValue | undefined> {
    const { store, term } = this.parts;
    const key = supplyIntentKey(term.zone, intent.idempotencyKey);
    const value = JSON.stringify(intent);
    try {
      const result = await store.commit({
        compare: [
          term.holderComparison,
          { key, target: 'create-revision', operand: StoreRevision.None },
          ...compare,
        ],
        success: [{ type: 'put', key, value }, ...operations, { type: 'range', key }],
        failure: [],
      });
      const range = result.results.at(-1);
      return result.succeeded && range?.type === 'range' ? range.values[0] : undefined;
    } catch (error) {
      const stored = await store.get(key);
      if (stored?.value !== value) {
        throw error;
      }
      return stored;
    }
  }

  private async send(
    intent: SupplyIntent,
    stored: KeyValue,
    write: (check: () => void) => Promise<void>,
  ): Promise<OrderOutcome> {
    const { term } = this.parts;
    const markOrderResolved = term.trackOrder(
      ORDER_TIME_TO_LIVE_MILLISECONDS + MAXIMUM_CLOCK_SKEW_MILLISECONDS,
    );
    const isEffective = await this.sendOnce(intent, write);
    if (isEffective === undefined) {
      return OrderOutcome.Open;
    }
    markOrderResolved();
    if (await this.resolveIntent(intent, stored, isEffective)) {
      this.expiryByOrder.delete(intent.idempotencyKey);
    }
    return isEffective ? OrderOutcome.Taken : OrderOutcome.NoEffect;
  }

  /** Returns whether the order took effect; undefined if that is unknown. */
  private async sendOnce(
    intent: SupplyIntent,
    write: (check: () => void) => Promise<void>,
  ): Promise<boolean | undefined> {
    const { clock, term } = this.parts;
    try {
      if (clock.wallMilliseconds() < intent.deadlineMilliseconds) {
        await write(() => term.assertHeld());
        return true;
      }
    } catch (error) {
      const failure = failureOf(error);
      if (failure.kind === FailureKind.AuthorityLost) {
        term.end();
      } else if (failure.kind !== FailureKind.PlatformUnavailable || failure.mayHaveTakenEffect) {
        return this.resolveLostResponse(intent);
      }
    }
    return false;
  }

  /** Reads whether an order without a response took effect. If not, the order may still arrive. */
  private async resolveLostResponse(intent: SupplyIntent): Promise<true | undefined> {
    try {
      const effective = await this.parts.supply.listEffectiveOrders(this.parts.term.zone);
      return effective.includes(intent.idempotencyKey) ? true : undefined;
    } catch {
      return undefined;
    }
  }

  /** Deletes the intent and updates the spend and the supplied record in one transaction. */
  private async resolveIntent(
    intent: SupplyIntent,
    stored: KeyValue,
    isEffective: boolean,
  ): Promise<boolean> {
    const { store, term, clock } = this.parts;
    const compare: Comparison[] = [
      { key: stored.key, target: 'mod-revision', operand: stored.modRevision },
    ];
    const operations: Operation[] = [{ type: 'delete', key: stored.key }];
    let amount = 0;
    if (intent.type === SupplyOrderType.Order && isEffective) {
      const record: SuppliedRecord = {
        kind: intent.subject,
        amount: intent.amount,
        orderedMilliseconds: clock.wallMilliseconds(),
      };
      const key = suppliedKey(term.zone, intent.idempotencyKey);
      operations.push({ type: 'put', key, value: JSON.stringify(record) });
    } else if (intent.type === SupplyOrderType.Order) {
      amount = -intent.amount;
    } else if (isEffective && intent.orderKey !== undefined) {
      const key = suppliedKey(term.zone, intent.orderKey);
      const supplied = await store.get(key);
      if (supplied !== undefined) {
        amount = -(JSON.parse(supplied.value) as SuppliedRecord).amount;
        compare.push({ key, target: 'mod-revision', operand: supplied.modRevision });
        operations.push({ type: 'delete', key });
      }
    }
    return this.updateSpend(amount, compare, operations);
  }

  /**
   * Updates the zone's spend and applies the operations in one transaction. Returns false if another
   * comparison fails, the response is lost or all attempts conflict; `resolveOpenIntents` and
   * `reconcile` complete the update later.
   */
  private async updateSpend(
    amount: number,
    compare: readonly Comparison[],
    operations: readonly Operation[],
  ): Promise<boolean> {
    const { store, term } = this.parts;
    try {
      for (let attempt = 0; attempt < COMPARE_AND_SWAP_ATTEMPTS; attempt += 1) {
        const current = await store.get(SPEND_KEY);
        const spend = Spend.parse(current?.value).add(term.zone, amount);
        const result = await store.commit({
          compare: [
            term.holderComparison,
            ...compare,
            {
              key: SPEND_KEY,
              target: 'mod-revision',
              operand: current?.modRevision ?? StoreRevision.None,
            },
          ],
          success: [
            ...operations,
            ...(amount === 0
              ? []
              : [{ type: 'put' as const, key: SPEND_KEY, value: spend.serialize() }]),
          ],
          failure: [{ type: 'range', key: SPEND_KEY }],
        });
        if (result.succeeded) {
          return true;
        }
        const actual = result.results[0];
        const actualValue = actual?.type === 'range' ? actual.values[0] : undefined;
        const actualRevision = actualValue?.modRevision ?? StoreRevision.None;
        if (actualRevision.equals(current?.modRevision ?? StoreRevision.None)) {
          return false;
        }
      }
    } catch (error) {
      if (!hasFailureKind(error, FailureKind.PlatformUnavailable)) {
        throw error;
      }
    }
    return false;
  }

  private refused(reason: string): RelayError {
    return new RelayError({
      kind: FailureKind.Overloaded,
      reason: `cannot order from the endpoint supply: ${reason}`,
      retryAfterSeconds: ORDER_TIME_TO_LIVE_MILLISECONDS / 1000,
    });
  }
}
