import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';
import { EngineStatusLink } from 'hickoryrelay-link/EngineStatusLink';
import { Spend } from 'hickoryrelay-zone/Spend';
import { SupplyOrderType } from 'hickoryrelay-zone/SupplyOrderDispatcher';
import { SPEND_KEY, suppliedPrefix, supplyIntentsPrefix } from 'hickoryrelay-zone/ZoneKeyUtils';

import { ENGINE_READS_PER_SECOND } from './ZoneDemandObserver.js';
import type { SupplySnapshot, ZoneDemandObserver } from './ZoneDemandObserver.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { TaskContext } from 'hickoryrelay/Task';
import type { Engine } from 'hickoryrelay-endpoint/Engine';
import type { EndpointSupply } from 'hickoryrelay-platform/EndpointSupply';
import type { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';
import type { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';
import type { SuppliedRecord, SupplyIntent } from 'hickoryrelay-zone/SupplyOrderDispatcher';

const SAMPLE_INTERVAL_MILLISECONDS = 1000;

/** Three store reads per zone: for 11 zones, 17 of the about 2,000 allowed per second. */
const SUPPLY_READ_INTERVAL_MILLISECONDS = 2000;

/** Engines whose report is younger, such as those read by the load tasks, are not read again. */
const MINIMUM_READ_INTERVAL_MILLISECONDS = 3000;

export interface ZoneObservationParts {
  readonly observer: ZoneDemandObserver;
  readonly zone: string;
  readonly store: KeyValueStore;
  readonly supply: EndpointSupply;
  readonly log: ComponentLogger;
}

/** Keeps the state of the observer up to date while the authority is held. */
export class ZoneObservationTask extends Task {
  override readonly name = 'observation of the zone';

  private readonly parts: ZoneObservationParts;

  private readonly term: AuthorityTerm;

  private readonly lastAttemptMilliseconds = new WeakMap<Engine, number>();

  constructor(parts: ZoneObservationParts, term: AuthorityTerm) {
    super();
    this.parts = parts;
    this.term = term;
  }

  protected override async *steps(context: TaskContext): AsyncGenerator<void, void, void> {
    const { observer } = this.parts;
    const { clock } = context;
    const signal = AbortSignal.any([context.signal, this.term.signal]);
    observer.reset();
    let lastSupplyReadMilliseconds = Number.NEGATIVE_INFINITY;
    while (!signal.aborted) {
      observer.sample();
      const now = clock.monotonicMilliseconds();
      if (now - lastSupplyReadMilliseconds >= SUPPLY_READ_INTERVAL_MILLISECONDS) {
        lastSupplyReadMilliseconds = now;
        await this.attempt(async () => observer.update(await this.readSupply(now)));
        yield;
      }
      await this.readEngines(clock, signal);
      yield;
      await clock.sleep(SAMPLE_INTERVAL_MILLISECONDS, signal).catch(() => {});
    }
  }

  /**
   * Reads intents, then records, then the list. Orders progress in this direction, so each order
   * is seen at least once; duplicates are removed by their idempotency key.
   */
  private async readSupply(requestedMilliseconds: number): Promise<SupplySnapshot> {
    const { store, supply, zone } = this.parts;
    const pending = new Map<string, string>();
    const intents = await store.range(supplyIntentsPrefix(zone), { prefix: true });
    for (const { value } of intents.values) {
      const intent = JSON.parse(value) as SupplyIntent;
      if (intent.type === SupplyOrderType.Order) {
        pending.set(intent.idempotencyKey, intent.subject);
      }
    }
    const prefix = suppliedPrefix(zone);
    const records = await store.range(prefix, { prefix: true });
    for (const { key, value } of records.values) {
      pending.set(key.slice(prefix.length), (JSON.parse(value) as SuppliedRecord).kind);
    }
    const supplied = await supply.list(zone);
    supplied.forEach(({ orderKey }) => pending.delete(orderKey ?? ''));
    const spend = Spend.parse((await store.get(SPEND_KEY))?.value);
    return { requestedMilliseconds, spend, supplied, pendingKinds: [...pending.values()] };
  }

  /** Reads engines that await a report first, then those whose last read is the oldest. */
  private async readEngines(clock: Clock, signal: AbortSignal): Promise<void> {
    const now = clock.monotonicMilliseconds();
    const lastRead = (engine: Engine) =>
      Math.max(
        this.lastAttemptMilliseconds.get(engine) ?? Number.NEGATIVE_INFINITY,
        engine.load.lastReport?.sampledMilliseconds ?? Number.NEGATIVE_INFINITY,
      );
    const [awaited, others] = this.parts.observer.enginesToRead();
    const due = [
      ...awaited,
      ...others
        .filter((engine) => now - lastRead(engine) >= MINIMUM_READ_INTERVAL_MILLISECONDS)
        .toSorted((left, right) => lastRead(left) - lastRead(right)),
    ].slice(0, ENGINE_READS_PER_SECOND);
    await Promise.all(
      due.map((engine) => {
        this.lastAttemptMilliseconds.set(engine, now);
        return this.attempt(async () => {
          const report = await new EngineStatusLink(engine.location, clock).readLoad(signal);
          if (report !== undefined) {
            engine.load.update(report);
          }
        });
      }),
    );
  }

  private async attempt(work: () => Promise<void>): Promise<void> {
    try {
      await work();
    } catch (error) {
      this.parts.log.debug('Failed to read the supply or an engine load of the zone.', {
        zone: this.parts.zone,
        reason: describeFailure(failureOf(error)),
      });
    }
  }
}
