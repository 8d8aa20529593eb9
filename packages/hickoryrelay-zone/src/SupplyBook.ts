import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError, failureOf, hasFailureKind } from 'hickoryrelay/RelayError';

import { CLOCK_SKEW_MILLISECONDS, LONGEST_ORDER_MILLISECONDS, OrderOutcome } from './OrderBook.js';
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

/** Attempts at a compare-and-swap of the spend that other zones change at the same time. */
const SWAP_ATTEMPTS = 8;

/**
 * An endpoint that was ordered longer ago than this and is not listed was taken back. Lead times
 * and the lag of the list are shorter.
 */
const LIST_LAG_MILLISECONDS = 900_000;

/** What an order to the platform asks for. */
export const SupplyOrderType = { Order: 'order', Release: 'release' } as const;

export type SupplyOrderType = (typeof SupplyOrderType)[keyof typeof SupplyOrderType];

export interface SupplyIntent {
  readonly type: SupplyOrderType;
  readonly idempotencyKey: string;
  /** Kind of an ordered endpoint, or identifier of a released one. */
  readonly subject: string;
  /** Key of the order that brought a released endpoint. */
  readonly orderKey?: string;
  /** Reserved for an order, in thousandths for an hour. */
  readonly amount: number;
  readonly fencingNumber: number;
  readonly deadlineMilliseconds: number;
}

/** An order that took effect and still costs money. */
export interface SuppliedRecord {
  readonly kind: string;
  readonly amount: number;
  readonly orderedMilliseconds: number;
}

/** What a supply book is made of. It lives as long as its term. */
export interface SupplyBookParts {
  readonly term: AuthorityTerm;
  readonly store: KeyValueStore;
  readonly supply: EndpointSupply;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/**
 * The orders of one term to the platform's endpoint supply. The spend is reserved in the same
 * transaction that writes the intent, and given back in the same transaction that settles it, so
 * that a crash at any point leaves both as one. A lost answer is resolved by reading the
 * platform's effective orders; an order that is absent from them is known to have had no effect
 * only when it can no longer arrive. `begin` must have returned before the first order.
 *
 * The remaining risk: a platform that checks neither fencing numbers nor deadlines takes an order
 * that the network held for longer than its longest life, after its spend was given back.
 */
export class SupplyBook {
  private readonly parts: SupplyBookParts;

  /** Monotonic times from which this term's orders, by key, can no longer arrive. */
  private readonly endsOfLife = new Map<string, number>();

  private isReady = false;

  constructor(parts: SupplyBookParts) {
    this.parts = parts;
  }

  /** Waits until no order of a predecessor can be under way, then settles its open intents. */
  async begin(signal: AbortSignal): Promise<void> {
    await this.parts.clock.sleep(LONGEST_ORDER_MILLISECONDS + CLOCK_SKEW_MILLISECONDS, signal);
    await this.settleOpen();
    this.isReady = true;
  }

  /**
   * Orders one endpoint if its cost fits under the limit (in thousandths for an hour). Throws
   * `overloaded` if it does not fit.
   */
  async order(kind: EndpointKind, limit: number): Promise<OrderOutcome> {
    const idempotencyKey = this.parts.random.identifier(IDENTIFIER_BYTES);
    const amount = toThousandths(kind.costPerHour);
    const intent = this.intent(SupplyOrderType.Order, idempotencyKey, kind.name, { amount });
    const stored = await this.reserve(intent, limit);
    return this.send(intent, stored, (check) =>
      this.parts.supply.order({ ...this.common(intent), kind: kind.name }, check),
    );
  }

  /** Releases an endpoint. The key is the endpoint's, so that a repeat has no further effect. */
  async release(endpoint: SuppliedEndpoint): Promise<OrderOutcome> {
    const intent = this.intent(
      SupplyOrderType.Release,
      `release-${endpoint.identifier}`,
      endpoint.identifier,
      { amount: 0, ...(endpoint.orderKey === undefined ? {} : { orderKey: endpoint.orderKey }) },
    );
    // The spend of the order can only be given back once the order itself is settled.
    const { orderKey } = endpoint;
    const isOrderSettled: Comparison[] =
      orderKey === undefined
        ? []
        : [
            {
              key: supplyIntentKey(this.parts.term.zone, orderKey),
              target: 'create-revision',
              operand: 0,
            },
          ];
    const stored = await this.writeIntent(intent, isOrderSettled, []);
    if (stored === undefined) {
      throw this.refused('an order for the endpoint is open or the authority was taken over');
    }
    return this.send(intent, stored, (check) =>
      this.parts.supply.release({ ...this.common(intent), endpoint: endpoint.identifier }, check),
    );
  }

  /** Settles open intents by the platform's effective orders. Returns how many remain open. */
  async settleOpen(): Promise<number> {
    const { store, supply, term, clock } = this.parts;
    const askedMilliseconds = clock.monotonicMilliseconds();
    const { values } = await store.range(supplyIntentsPrefix(term.zone), { prefix: true });
    if (values.length === 0) {
      return 0;
    }
    const effective = new Set(await supply.effectiveOrders(term.zone));
    let open = 0;
    for (const stored of values) {
      const intent = JSON.parse(stored.value) as SupplyIntent;
      // A predecessor's orders can no longer arrive once `begin` has waited.
      const endOfLife = this.endsOfLife.get(intent.idempotencyKey) ?? 0;
      const mayStillArrive = askedMilliseconds < endOfLife;
      const isEffective = effective.has(intent.idempotencyKey);
      const isSettled =
        (isEffective || !mayStillArrive) && (await this.settle(intent, stored, isEffective));
      open += isSettled ? 0 : 1;
      if (isSettled) {
        this.endsOfLife.delete(intent.idempotencyKey);
      }
    }
    return open;
  }

  /** Gives back the spend of endpoints that the platform took back. Returns how many. */
  async reconcile(): Promise<number> {
    const { store, supply, term, clock } = this.parts;
    const listed = await supply.list(term.zone);
    const present = new Set(listed.map((endpoint) => endpoint.orderKey));
    const prefix = suppliedPrefix(term.zone);
    const { values } = await store.range(prefix, { prefix: true });
    let reclaimed = 0;
    for (const stored of values) {
      const record = JSON.parse(stored.value) as SuppliedRecord;
      const age = clock.wallMilliseconds() - record.orderedMilliseconds;
      if (!present.has(stored.key.slice(prefix.length)) && age > LIST_LAG_MILLISECONDS) {
        const isGivenBack = await this.swapSpend(
          -record.amount,
          [{ key: stored.key, target: 'mod-revision', operand: stored.modRevision }],
          [{ type: 'delete', key: stored.key }],
        );
        reclaimed += isGivenBack ? 1 : 0;
      }
    }
    return reclaimed;
  }

  async readSpend(): Promise<Spend> {
    return Spend.parse((await this.parts.store.get(SPEND_KEY))?.value);
  }

  private intent(
    type: SupplyOrderType,
    idempotencyKey: string,
    subject: string,
    rest: { amount: number; orderKey?: string },
  ): SupplyIntent {
    const { term, clock } = this.parts;
    if (!this.isReady) {
      throw this.refused('the orders of the predecessor are not settled');
    }
    term.assertHeld();
    const endMilliseconds = clock.monotonicMilliseconds() + LONGEST_ORDER_MILLISECONDS;
    this.endsOfLife.set(idempotencyKey, endMilliseconds + CLOCK_SKEW_MILLISECONDS);
    return {
      type,
      idempotencyKey,
      subject,
      ...rest,
      fencingNumber: term.fencingNumber,
      deadlineMilliseconds:
        clock.wallMilliseconds() + Math.min(LONGEST_ORDER_MILLISECONDS, term.remainingMilliseconds),
    };
  }

  private common(intent: SupplyIntent): Omit<SupplyOrder, 'kind'> & Omit<ReleaseOrder, 'endpoint'> {
    const { idempotencyKey, fencingNumber, deadlineMilliseconds } = intent;
    return { idempotencyKey, zone: this.parts.term.zone, fencingNumber, deadlineMilliseconds };
  }

  /** Reserves the amount and writes the intent in one transaction. */
  private async reserve(intent: SupplyIntent, limit: number): Promise<KeyValue> {
    const { store, term } = this.parts;
    for (let attempt = 0; attempt < SWAP_ATTEMPTS; attempt += 1) {
      const present = await store.get(SPEND_KEY);
      const spend = Spend.parse(present?.value).add(term.zone, intent.amount);
      if (spend.total > limit) {
        throw this.refused('the order does not fit the budget');
      }
      const stored = await this.writeIntent(
        intent,
        [{ key: SPEND_KEY, target: 'mod-revision', operand: present?.modRevision ?? 0 }],
        [{ type: 'put', key: SPEND_KEY, value: spend.serialize() }],
      );
      if (stored !== undefined) {
        return stored;
      }
      term.assertHeld();
    }
    throw this.refused('the spend is changed too often by other zones');
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
        compare: [term.comparison, { key, target: 'create-revision', operand: 0 }, ...compare],
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
    const endOrder = term.beginOrder(LONGEST_ORDER_MILLISECONDS + CLOCK_SKEW_MILLISECONDS);
    const isEffective = await this.sendOnce(intent, write);
    if (isEffective === undefined) {
      return OrderOutcome.Open;
    }
    endOrder();
    if (await this.settle(intent, stored, isEffective)) {
      this.endsOfLife.delete(intent.idempotencyKey);
    }
    return isEffective ? OrderOutcome.Taken : OrderOutcome.NoEffect;
  }

  /** Returns whether the order took effect; undefined if that is not known. */
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
        return this.resolve(intent);
      }
    }
    return false;
  }

  /** Reads whether an order whose answer was lost took effect; it may be on its way if not. */
  private async resolve(intent: SupplyIntent): Promise<true | undefined> {
    try {
      const effective = await this.parts.supply.effectiveOrders(this.parts.term.zone);
      return effective.includes(intent.idempotencyKey) ? true : undefined;
    } catch {
      return undefined;
    }
  }

  /** Deletes the intent and books what became of it, in one transaction. */
  private async settle(
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
    return this.swapSpend(amount, compare, operations);
  }

  /**
   * Changes the zone's spend together with the operations. Returns false if another comparison no
   * longer holds or the answer was lost; `settleOpen` and `reconcile` then find what is left.
   */
  private async swapSpend(
    amount: number,
    compare: readonly Comparison[],
    operations: readonly Operation[],
  ): Promise<boolean> {
    const { store, term } = this.parts;
    try {
      for (let attempt = 0; attempt < SWAP_ATTEMPTS; attempt += 1) {
        const present = await store.get(SPEND_KEY);
        const spend = Spend.parse(present?.value).add(term.zone, amount);
        const result = await store.commit({
          compare: [
            term.comparison,
            ...compare,
            { key: SPEND_KEY, target: 'mod-revision', operand: present?.modRevision ?? 0 },
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
        const found = result.results[0];
        const foundRevision = found?.type === 'range' ? (found.values[0]?.modRevision ?? 0) : 0;
        if (foundRevision === (present?.modRevision ?? 0)) {
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
      reason: `no supply order: ${reason}`,
      retryAfterSeconds: LONGEST_ORDER_MILLISECONDS / 1000,
    });
  }
}
