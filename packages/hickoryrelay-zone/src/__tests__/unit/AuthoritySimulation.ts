import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { EngineRole } from 'hickoryrelay-endpoint/Engine';
import {
  InProcessEndpointSupply,
  EndpointSupplyStandIn,
} from 'hickoryrelay-standin/EndpointSupplyStandIn';
import { EngineOrderReceiver, InProcessOrderLink } from 'hickoryrelay-standin/EngineOrderReceiver';
import { FaultKind, FaultTally } from 'hickoryrelay-standin/FaultTally';
import { InProcessExchange } from 'hickoryrelay-standin/InProcessExchange';
import { InProcessKeyValueStore } from 'hickoryrelay-standin/InProcessKeyValueStore';
import { KeyValueTable } from 'hickoryrelay-standin/KeyValueTable';
import { ProcessClock } from 'hickoryrelay-standin/ProcessClock';
import { EndpointOrderDispatcher } from 'hickoryrelay-zone/EndpointOrderDispatcher';
import { Spend } from 'hickoryrelay-zone/Spend';
import { SupplyOrderDispatcher } from 'hickoryrelay-zone/SupplyOrderDispatcher';
import { ZoneAuthority } from 'hickoryrelay-zone/ZoneAuthority';
import { ZoneControlTask, ZonePlanner } from 'hickoryrelay-zone/ZoneControlTask';
import { authorityKey, SPEND_KEY } from 'hickoryrelay-zone/ZoneKeyUtils';

import type { EndpointKind } from 'hickoryrelay-contract/EndpointKind';
import type { OrderChecks } from 'hickoryrelay-standin/EngineOrderReceiver';
import type { OrderExchanges } from 'hickoryrelay-standin/InProcessExchange';
import type { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';
import type { ZoneDecision } from 'hickoryrelay-zone/ZoneControlTask';

export const ZONE = 'zone-a';

const OTHER_ZONE = 'zone-b';

export const ENGINES: Readonly<Record<string, OrderChecks>> = {
  'checks-both': { fencing: true, deadline: true },
  'checks-fencing': { fencing: true, deadline: false },
  'checks-deadline': { fencing: false, deadline: true },
  'checks-nothing': { fencing: false, deadline: false },
};

export const KIND: EndpointKind = {
  name: 'engine',
  serves: 'model',
  models: ['model-one'],
  routes: [],
  checksFencing: true,
  reclaimable: false,
  costPerHour: 4,
};

const ROLES = [EngineRole.Prefill, EngineRole.Decode, EngineRole.Mixed] as const;

/** Returns the decisions that the test enqueues, the same in every process to cause conflicts. */
class ScriptedPlanner extends ZonePlanner {
  pendingDecisions: ZoneDecision[] = [];

  override decide(): readonly ZoneDecision[] {
    const { pendingDecisions } = this;
    this.pendingDecisions = [];
    return pendingDecisions;
  }

  override recordOutcome(): void {}
}

/** One simulated process that competes for the authority over the zone. */
export class CandidateProcess {
  readonly clock: ProcessClock;

  readonly store: InProcessKeyValueStore;

  readonly engineExchanges: OrderExchanges;

  readonly supplyExchanges: OrderExchanges;

  readonly planner = new ScriptedPlanner();

  readonly authority: ZoneAuthority;

  private readonly lifecycle: LifecycleManager;

  private readonly simulation: AuthoritySimulation;

  private readonly random: SeededRandomSource;

  constructor(simulation: AuthoritySimulation, name: string, seed: number) {
    this.simulation = simulation;
    this.random = new SeededRandomSource(seed);
    this.clock = new ProcessClock(simulation.clock);
    this.store = new InProcessKeyValueStore(simulation.table, simulation.clock, this.clock);
    const exchange = () => new InProcessExchange(simulation.clock, this.clock);
    this.engineExchanges = { orders: exchange(), reads: exchange() };
    this.supplyExchanges = { orders: exchange(), reads: exchange() };
    [this.clock, ...this.exchanges].forEach((each) =>
      Object.assign(each, { tally: simulation.faultTally }),
    );
    this.lifecycle = new LifecycleManager(name, this.clock, (owner, failure) => {
      simulation.reportViolation(`${name}: ${owner}: ${JSON.stringify(failure)}`);
    });
    this.authority = new ZoneAuthority({
      zone: ZONE,
      holder: name,
      store: this.store,
      random: this.random,
      log: silentLogger,
      lifecycle: this.lifecycle,
      createTasks: (term) => [this.createControlTask(term)],
    });
    this.lifecycle.start(this.authority);
  }

  /** All connections of this process to the platform and the engines. */
  get exchanges(): readonly InProcessExchange[] {
    return [
      this.store.exchange,
      ...Object.values<InProcessExchange>({ ...this.engineExchanges }),
      ...Object.values<InProcessExchange>({ ...this.supplyExchanges }),
    ];
  }

  stop(): void {
    void this.lifecycle.stop();
  }

  private createControlTask(term: AuthorityTerm): ZoneControlTask {
    const { store, clock, random, simulation } = this;
    const orders = new EndpointOrderDispatcher({
      term,
      store,
      clock,
      random,
      openLink: (endpoint, check) => {
        const side = simulation.engines.get(endpoint);
        const onSend = () => simulation.checkSend(endpoint, term.fencingNumber);
        return side && new InProcessOrderLink(endpoint, side, this.engineExchanges, check, onSend);
      },
    });
    const supply = new SupplyOrderDispatcher({
      term,
      store,
      clock,
      random,
      supply: new InProcessEndpointSupply(
        simulation.supply,
        this.supplyExchanges,
        (fencingNumber) => simulation.checkSend('platform', fencingNumber),
      ),
    });
    return new ZoneControlTask({ term, orders, supply, planner: this.planner, log: silentLogger });
  }
}

/**
 * Simulates several candidate processes, the platform and four engines on one manual clock, and
 * checks the invariants (the oracle of the fuzz test).
 */
export class AuthoritySimulation {
  readonly clock = new ManualClock();

  readonly table = new KeyValueTable(this.clock);

  readonly supply = new EndpointSupplyStandIn(this.clock);

  readonly engines = new Map(
    Object.entries(ENGINES).map(([name, checks]) => [
      name,
      new EngineOrderReceiver(this.clock, checks),
    ]),
  );

  readonly processes: CandidateProcess[] = [];

  readonly faultTally: FaultTally;

  readonly violations: string[] = [];

  budget = 20;

  /** Amount reserved by the other zone, in thousandths per hour. */
  private otherZoneSpend = 0;

  /** Event counts, to check that the commands exercise the mechanisms under test. */
  readonly counts = { terms: 0, engineOrders: 0, supplyOrders: 0 };

  /** Fencing number of the actual holder by the platform's table; 0 if there is none. */
  private holderFencingNumber = 0;

  private highestFencingNumber = 0;

  private highestBudget = this.budget;

  private readonly checkedOrderCounts = new Map<string, number>();

  constructor(processCount: number, faultTally = new FaultTally()) {
    this.faultTally = faultTally;
    this.table.tally = faultTally;
    this.engines.forEach((side) => {
      Object.assign(side, { readHolderFencingNumber: () => this.holderFencingNumber });
    });
    this.table.subscribe(({ events }) => {
      events.forEach((event) => {
        if (event.type === 'put' && event.value.key === authorityKey(ZONE)) {
          this.recordHolder(JSON.parse(event.value.value) as { fencingNumber: number });
        } else if (event.type === 'delete' && event.key === authorityKey(ZONE)) {
          this.holderFencingNumber = 0;
        }
      });
    });
    for (let index = 0; index < processCount; index += 1) {
      this.processes.push(new CandidateProcess(this, `entry-${index}`, index + 1));
    }
  }

  reportViolation(violation: string): void {
    this.violations.push(`at ${this.clock.monotonicMilliseconds()} ms: ${violation}`);
  }

  /** Reports a violation if a process sends an order without actually holding the authority. */
  checkSend(subject: string, fencingNumber: number): void {
    if (fencingNumber !== this.holderFencingNumber) {
      this.reportViolation(
        `order to ${subject} sent under ${fencingNumber}, the holder is ${this.holderFencingNumber}`,
      );
    }
  }

  setBudget(budget: number): void {
    this.budget = budget;
    this.highestBudget = Math.max(this.highestBudget, budget);
  }

  /** Replaces a killed process by a new one. */
  crashProcess(index: number): void {
    this.processes[index]?.clock.kill();
    this.replace(index);
  }

  stop(index: number): void {
    this.processes[index]?.stop();
    this.replace(index);
  }

  requestEngineOrder(endpoint: string, choice: number): void {
    const role = ROLES[choice % ROLES.length] ?? EngineRole.Mixed;
    this.enqueueDecision({
      type: 'endpoint-order',
      endpoint,
      order: { type: 'change-role', role },
      reason: '',
    });
  }

  requestSupply(): void {
    const limit = this.budget * 1000;
    this.enqueueDecision({ type: 'supply-order', kind: KIND, limit, reason: '' });
  }

  requestRelease(choice: number): void {
    const listed = this.supply.list(ZONE);
    const endpoint = listed[choice % Math.max(1, listed.length)];
    if (endpoint !== undefined) {
      this.enqueueDecision({ type: 'release', endpoint, reason: '' });
    }
  }

  /** Sets the other zone's part of the shared spend, if the budget allows it. */
  setOtherZoneSpend(units: number): void {
    const { spend } = this;
    const change = units * 1000 - this.otherZoneSpend;
    if (spend.total + change > this.budget * 1000) {
      return;
    }
    this.otherZoneSpend = units * 1000;
    const value = spend.add(OTHER_ZONE, change).serialize();
    const put = { type: 'put' as const, key: SPEND_KEY, value };
    this.table.commit({ compare: [], success: [put], failure: [] });
  }

  reclaim(choice: number): void {
    const listed = this.supply.list(ZONE);
    const endpoint = listed[choice % Math.max(1, listed.length)]?.identifier ?? '';
    if (this.supply.endpoints.delete(endpoint)) {
      this.faultTally.count(FaultKind.Reclaim);
    }
  }

  /** Advances time in small steps and checks the invariants after each. */
  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 250) {
      await this.clock.advance(Math.min(250, milliseconds - passed));
      this.check();
    }
  }

  get spend(): Spend {
    return Spend.parse(this.table.range(SPEND_KEY).values[0]?.value);
  }

  /** Cost of the supplied endpoints, in thousandths per hour. */
  get chargedSpend(): number {
    return this.supply.list(ZONE).length * KIND.costPerHour * 1000;
  }

  private enqueueDecision(decision: ZoneDecision): void {
    this.processes.forEach(({ planner }) => planner.pendingDecisions.push(decision));
  }

  private replace(index: number): void {
    const name = `entry-${index}-${this.clock.monotonicMilliseconds()}`;
    this.processes[index] = new CandidateProcess(
      this,
      name,
      this.highestFencingNumber * 10 + index,
    );
  }

  private recordHolder({ fencingNumber }: { fencingNumber: number }): void {
    if (fencingNumber <= this.highestFencingNumber) {
      this.reportViolation(
        `fencing number ${fencingNumber} was used after ${this.highestFencingNumber}`,
      );
    }
    this.counts.terms += 1;
    this.highestFencingNumber = Math.max(this.highestFencingNumber, fencingNumber);
    this.holderFencingNumber = fencingNumber;
  }

  private check(): void {
    this.engines.forEach((side, name) => {
      const first = this.checkedOrderCounts.get(name) ?? 0;
      for (const order of side.taken.slice(first)) {
        this.checkAcceptedOrder(name, side, order);
      }
      this.checkedOrderCounts.set(name, side.taken.length);
    });
    this.processes.forEach(({ authority }) => {
      const number = authority.currentTerm?.fencingNumber ?? this.holderFencingNumber;
      if (number !== this.holderFencingNumber) {
        this.reportViolation(
          `term ${number} is held locally, but the holder is ${this.holderFencingNumber}`,
        );
      }
    });
    this.counts.supplyOrders = this.supply.received.length;
    if (this.spend.total > this.highestBudget * 1000) {
      this.reportViolation(`spend ${this.spend.total} exceeds the budget ${this.highestBudget}`);
    }
    if (this.spend.forZone(OTHER_ZONE) !== this.otherZoneSpend) {
      this.reportViolation(`the spend of the other zone became ${this.spend.forZone(OTHER_ZONE)}`);
    }
    if (this.chargedSpend > this.spend.forZone(ZONE)) {
      this.reportViolation(`charged ${this.chargedSpend} but reserved ${this.spend.forZone(ZONE)}`);
    }
  }

  private checkAcceptedOrder(
    name: string,
    side: EngineOrderReceiver,
    order: EngineOrderReceiver['taken'][0],
  ): void {
    this.counts.engineOrders += 1;
    const { issued, overlappedOrder, holderFencingNumber } = order;
    const index = side.taken.indexOf(order);
    const previousFencingNumber = side.taken[index - 1]?.issued.fencingNumber ?? 0;
    if (issued.fencingNumber < previousFencingNumber) {
      this.reportViolation(
        `${name} accepted ${issued.fencingNumber} after ${previousFencingNumber}`,
      );
    }
    if (overlappedOrder !== undefined) {
      this.reportViolation(
        `${name} accepted ${issued.identifier} while running ${overlappedOrder}`,
      );
    }
    if (ENGINES[name]?.deadline === true && holderFencingNumber !== issued.fencingNumber) {
      this.reportViolation(
        `${name} accepted ${issued.fencingNumber} when the holder was ${holderFencingNumber}`,
      );
    }
  }
}
