import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { EngineRole } from 'hickoryrelay-endpoint/Engine';
import { EngineOrderSide, InProcessOrderLink } from 'hickoryrelay-standin/EngineOrderSide';
import { FaultKind, FaultTally } from 'hickoryrelay-standin/FaultTally';
import { InProcessExchange } from 'hickoryrelay-standin/InProcessExchange';
import { InProcessKeyValueStore } from 'hickoryrelay-standin/InProcessKeyValueStore';
import { KeyValueTable } from 'hickoryrelay-standin/KeyValueTable';
import { ProcessClock } from 'hickoryrelay-standin/ProcessClock';
import { InProcessEndpointSupply, SupplySide } from 'hickoryrelay-standin/SupplySide';
import { EndpointOrderDispatcher } from 'hickoryrelay-zone/EndpointOrderDispatcher';
import { Spend } from 'hickoryrelay-zone/Spend';
import { SupplyOrderDispatcher } from 'hickoryrelay-zone/SupplyOrderDispatcher';
import { ZoneAuthority } from 'hickoryrelay-zone/ZoneAuthority';
import { ZoneControlTask, ZonePlanner } from 'hickoryrelay-zone/ZoneControlTask';
import { authorityKey, SPEND_KEY } from 'hickoryrelay-zone/ZoneKeyUtils';

import type { EndpointKind } from 'hickoryrelay-contract/EndpointKind';
import type { OrderChecks } from 'hickoryrelay-standin/EngineOrderSide';
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

/** Plans what the test wishes. Every process has the same wishes, so that their orders conflict. */
class WishPlanner extends ZonePlanner {
  wishes: ZoneDecision[] = [];

  override decide(): readonly ZoneDecision[] {
    const { wishes } = this;
    this.wishes = [];
    return wishes;
  }

  override recordOutcome(): void {}
}

/** One simulated process that contends for the zone. */
export class ContendingProcess {
  readonly clock: ProcessClock;

  readonly store: InProcessKeyValueStore;

  readonly engineExchanges: OrderExchanges;

  readonly supplyExchanges: OrderExchanges;

  readonly planner = new WishPlanner();

  readonly authority: ZoneAuthority;

  private readonly lifecycle: LifecycleManager;

  private readonly world: AuthorityWorld;

  private readonly random: SeededRandomSource;

  constructor(world: AuthorityWorld, name: string, seed: number) {
    this.world = world;
    this.random = new SeededRandomSource(seed);
    this.clock = new ProcessClock(world.clock);
    this.store = new InProcessKeyValueStore(world.table, world.clock, this.clock);
    const exchange = () => new InProcessExchange(world.clock, this.clock);
    this.engineExchanges = { orders: exchange(), reads: exchange() };
    this.supplyExchanges = { orders: exchange(), reads: exchange() };
    [this.clock, ...this.exchanges].forEach((each) => Object.assign(each, { tally: world.tally }));
    this.lifecycle = new LifecycleManager(name, this.clock, (owner, failure) => {
      world.report(`${name}: ${owner}: ${JSON.stringify(failure)}`);
    });
    this.authority = new ZoneAuthority({
      zone: ZONE,
      holder: name,
      store: this.store,
      random: this.random,
      log: silentLogger,
      lifecycle: this.lifecycle,
      createTasks: (term) => [this.duty(term)],
    });
    this.lifecycle.start(this.authority);
  }

  /** All ways of this process to the platform and the engines. */
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

  private duty(term: AuthorityTerm): ZoneControlTask {
    const { store, clock, random, world } = this;
    const orders = new EndpointOrderDispatcher({
      term,
      store,
      clock,
      random,
      openLink: (endpoint, check) => {
        const side = world.engines.get(endpoint);
        const observe = () => world.observeSend(endpoint, term.fencingNumber);
        return side && new InProcessOrderLink(endpoint, side, this.engineExchanges, check, observe);
      },
    });
    const supply = new SupplyOrderDispatcher({
      term,
      store,
      clock,
      random,
      supply: new InProcessEndpointSupply(world.supply, this.supplyExchanges, (fencingNumber) =>
        world.observeSend('platform', fencingNumber),
      ),
    });
    return new ZoneControlTask({ term, orders, supply, planner: this.planner, log: silentLogger });
  }
}

/** Several contenders, the platform and four engines by one manual clock, with the oracle. */
export class AuthorityWorld {
  readonly clock = new ManualClock();

  readonly table = new KeyValueTable(this.clock);

  readonly supply = new SupplySide(this.clock);

  readonly engines = new Map(
    Object.entries(ENGINES).map(([name, checks]) => [
      name,
      new EngineOrderSide(this.clock, checks),
    ]),
  );

  readonly processes: ContendingProcess[] = [];

  readonly tally: FaultTally;

  readonly violations: string[] = [];

  budget = 20;

  /** What the other zone has reserved, in thousandths for an hour. */
  private otherSpend = 0;

  /** Counts what happened, to show that the commands reach the mechanisms. */
  readonly counts = { terms: 0, engineOrders: 0, supplyOrders: 0 };

  /** Fencing number of the true holder, by the platform's own table; 0 if nobody holds. */
  private holderNumber = 0;

  private highestNumber = 0;

  private highestBudget = this.budget;

  private readonly checkedOrders = new Map<string, number>();

  constructor(processCount: number, tally = new FaultTally()) {
    this.tally = tally;
    this.table.tally = tally;
    this.engines.forEach((side) => {
      Object.assign(side, { holderNumber: () => this.holderNumber });
    });
    this.table.subscribe(({ events }) => {
      events.forEach((event) => {
        if (event.type === 'put' && event.value.key === authorityKey(ZONE)) {
          this.observeHolder(JSON.parse(event.value.value) as { fencingNumber: number });
        } else if (event.type === 'delete' && event.key === authorityKey(ZONE)) {
          this.holderNumber = 0;
        }
      });
    });
    for (let index = 0; index < processCount; index += 1) {
      this.processes.push(new ContendingProcess(this, `entry-${index}`, index + 1));
    }
  }

  report(violation: string): void {
    this.violations.push(`at ${this.clock.monotonicMilliseconds()} ms: ${violation}`);
  }

  /** No order leaves a process that does not truly hold the authority. */
  observeSend(subject: string, fencingNumber: number): void {
    if (fencingNumber !== this.holderNumber) {
      this.report(`order to ${subject} sent by ${fencingNumber}, holder is ${this.holderNumber}`);
    }
  }

  setBudget(budget: number): void {
    this.budget = budget;
    this.highestBudget = Math.max(this.highestBudget, budget);
  }

  /** Replaces a killed process by a new one. */
  crash(index: number): void {
    this.processes[index]?.clock.kill();
    this.replace(index);
  }

  stop(index: number): void {
    this.processes[index]?.stop();
    this.replace(index);
  }

  wishEngineOrder(endpoint: string, choice: number): void {
    const role = ROLES[choice % ROLES.length] ?? EngineRole.Mixed;
    this.wish({
      type: 'endpoint-order',
      endpoint,
      order: { type: 'change-role', role },
      reason: '',
    });
  }

  wishSupply(): void {
    const limit = this.budget * 1000;
    this.wish({ type: 'supply-order', kind: KIND, limit, reason: '' });
  }

  wishRelease(choice: number): void {
    const listed = this.supply.list(ZONE);
    const endpoint = listed[choice % Math.max(1, listed.length)];
    if (endpoint !== undefined) {
      this.wish({ type: 'release', endpoint, reason: '' });
    }
  }

  /** The authority of another zone changes its part of the shared spend. */
  changeOtherZone(units: number): void {
    const { spend } = this;
    const change = units * 1000 - this.otherSpend;
    if (spend.total + change > this.budget * 1000) {
      return;
    }
    this.otherSpend = units * 1000;
    const value = spend.add(OTHER_ZONE, change).serialize();
    const put = { type: 'put' as const, key: SPEND_KEY, value };
    this.table.commit({ compare: [], success: [put], failure: [] });
  }

  /** The platform takes an endpoint back. */
  reclaim(choice: number): void {
    const listed = this.supply.list(ZONE);
    const endpoint = listed[choice % Math.max(1, listed.length)]?.identifier ?? '';
    if (this.supply.endpoints.delete(endpoint)) {
      this.tally.count(FaultKind.Reclaim);
    }
  }

  /** Moves time in small steps and checks the oracle after each. */
  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 250) {
      await this.clock.advance(Math.min(250, milliseconds - passed));
      this.check();
    }
  }

  get spend(): Spend {
    return Spend.parse(this.table.range(SPEND_KEY).values[0]?.value);
  }

  /** What the platform charges for, in thousandths for an hour. */
  get charged(): number {
    return this.supply.list(ZONE).length * KIND.costPerHour * 1000;
  }

  private wish(decision: ZoneDecision): void {
    this.processes.forEach(({ planner }) => planner.wishes.push(decision));
  }

  private replace(index: number): void {
    const name = `entry-${index}-${this.clock.monotonicMilliseconds()}`;
    this.processes[index] = new ContendingProcess(this, name, this.highestNumber * 10 + index);
  }

  private observeHolder({ fencingNumber }: { fencingNumber: number }): void {
    if (fencingNumber <= this.highestNumber) {
      this.report(`fencing number ${fencingNumber} was used after ${this.highestNumber}`);
    }
    this.counts.terms += 1;
    this.highestNumber = Math.max(this.highestNumber, fencingNumber);
    this.holderNumber = fencingNumber;
  }

  private check(): void {
    this.engines.forEach((side, name) => {
      const first = this.checkedOrders.get(name) ?? 0;
      for (const order of side.taken.slice(first)) {
        this.checkTaken(name, side, order);
      }
      this.checkedOrders.set(name, side.taken.length);
    });
    this.processes.forEach(({ authority }) => {
      const number = authority.currentTerm?.fencingNumber ?? this.holderNumber;
      if (number !== this.holderNumber) {
        this.report(`${number} believes that it holds, the holder is ${this.holderNumber}`);
      }
    });
    this.counts.supplyOrders = this.supply.received.length;
    if (this.spend.total > this.highestBudget * 1000) {
      this.report(`spend ${this.spend.total} exceeds the budget ${this.highestBudget}`);
    }
    if (this.spend.forZone(OTHER_ZONE) !== this.otherSpend) {
      this.report(`the spend of the other zone became ${this.spend.forZone(OTHER_ZONE)}`);
    }
    if (this.charged > this.spend.forZone(ZONE)) {
      this.report(`charged ${this.charged} but reserved ${this.spend.forZone(ZONE)}`);
    }
  }

  private checkTaken(
    name: string,
    side: EngineOrderSide,
    order: EngineOrderSide['taken'][0],
  ): void {
    this.counts.engineOrders += 1;
    const { issued, over, holderNumber } = order;
    const index = side.taken.indexOf(order);
    const before = side.taken[index - 1]?.issued.fencingNumber ?? 0;
    if (issued.fencingNumber < before) {
      this.report(`${name} took ${issued.fencingNumber} after ${before}`);
    }
    if (over !== undefined) {
      this.report(`${name} took ${issued.identifier} on top of ${over}`);
    }
    if (ENGINES[name]?.deadline === true && holderNumber !== issued.fencingNumber) {
      this.report(`${name} took ${issued.fencingNumber} when the holder was ${holderNumber}`);
    }
  }
}
