import fc from 'fast-check';
import { invariant } from 'hickoryrelay/Invariant';
import { Fault } from 'hickoryrelay-standin/FaultPlan';

import { ENGINES } from './AuthoritySimulation.js';
import type { AuthoritySimulation, CandidateProcess } from './AuthoritySimulation.js';

/** Model state that the preconditions of the commands depend on. */
export interface AuthorityModel {
  readonly paused: Set<number>;
}

const PROCESSES = 3;

/** A command with a description, an action on the simulation and a precondition. */
class SimulationCommand implements fc.AsyncCommand<AuthorityModel, AuthoritySimulation> {
  private readonly text: string;

  private readonly action: (
    simulation: AuthoritySimulation,
    model: AuthorityModel,
  ) => void | Promise<void>;

  private readonly isPossible: (model: AuthorityModel) => boolean;

  constructor(
    text: string,
    action: (simulation: AuthoritySimulation, model: AuthorityModel) => void | Promise<void>,
    isPossible: (model: AuthorityModel) => boolean = () => true,
  ) {
    this.text = text;
    this.action = action;
    this.isPossible = isPossible;
  }

  check(model: Readonly<AuthorityModel>): boolean {
    return this.isPossible(model);
  }

  async run(model: AuthorityModel, simulation: AuthoritySimulation): Promise<void> {
    await this.action(simulation, model);
    await simulation.advance(1);
    invariant(
      simulation.violations.length === 0,
      `${this.text}: ${simulation.violations.join('; ')}`,
    );
  }

  toString(): string {
    return this.text;
  }
}

function processOf(simulation: AuthoritySimulation, index: number): CandidateProcess {
  return simulation.processes[index]!;
}

const processIndex = fc.nat({ max: PROCESSES - 1 });
const fault = fc.constantFrom(Fault.LoseResponse, Fault.Refuse, Fault.Silent);
const engine = fc.constantFrom(...Object.keys(ENGINES));

/** Below the time to live of an order; longer delays are a documented risk of the dispatcher. */
const networkDelay = fc.constantFrom(0, 50, 1500, 2500, 4500);

const advance = fc
  .oneof(fc.constantFrom(100, 700, 3000, 8000), fc.constantFrom(12_000, 20_000))
  .map((ms) => new SimulationCommand(`advance(${ms})`, (simulation) => simulation.advance(ms)));

const order = fc
  .tuple(engine, fc.nat({ max: 2 }))
  .map(
    ([name, choice]) =>
      new SimulationCommand(`order(${name}, ${choice})`, (simulation) =>
        simulation.requestEngineOrder(name, choice),
      ),
  );

const supply = fc.constant(
  new SimulationCommand('supply()', (simulation) => simulation.requestSupply()),
);

const release = fc
  .nat({ max: 4 })
  .map(
    (choice) =>
      new SimulationCommand(`release(${choice})`, (simulation) =>
        simulation.requestRelease(choice),
      ),
  );

const pause = processIndex.map(
  (index) =>
    new SimulationCommand(
      `pause(${index})`,
      (simulation, model) => {
        model.paused.add(index);
        processOf(simulation, index).clock.pause();
      },
      (model) => !model.paused.has(index),
    ),
);

const resume = fc.tuple(processIndex, fc.boolean()).map(
  ([index, arrivalsFirst]) =>
    new SimulationCommand(
      `resume(${index}, ${arrivalsFirst})`,
      async (simulation, model) => {
        model.paused.delete(index);
        await processOf(simulation, index).clock.resume(arrivalsFirst);
      },
      (model) => model.paused.has(index),
    ),
);

/** The lease expires while its holder is paused. */
const leaseExpiry = processIndex.map(
  (index) =>
    new SimulationCommand(
      `leaseExpiry(${index})`,
      async (simulation) => {
        processOf(simulation, index).clock.pause();
        await simulation.advance(30_000);
        await processOf(simulation, index).clock.resume();
      },
      (model) => !model.paused.has(index),
    ),
);

const crash = processIndex.map(
  (index) =>
    new SimulationCommand(`crash(${index})`, (simulation, model) => {
      model.paused.delete(index);
      simulation.crashProcess(index);
    }),
);

const stop = processIndex.map(
  (index) =>
    new SimulationCommand(
      `stop(${index})`,
      (simulation) => simulation.stop(index),
      (model) => !model.paused.has(index),
    ),
);

const ExchangeName = {
  Store: 'store',
  EngineOrders: 'engine-orders',
  EngineReads: 'engine-reads',
  SupplyOrders: 'supply-orders',
  SupplyReads: 'supply-reads',
} as const;
type ExchangeName = (typeof ExchangeName)[keyof typeof ExchangeName];
const exchangeName = fc.constantFrom<ExchangeName>(...Object.values(ExchangeName));

function exchangeOf(simulation: AuthoritySimulation, index: number, name: ExchangeName) {
  const process = processOf(simulation, index);
  return {
    [ExchangeName.Store]: process.store.exchange,
    [ExchangeName.EngineOrders]: process.engineExchanges.orders,
    [ExchangeName.EngineReads]: process.engineExchanges.reads,
    [ExchangeName.SupplyOrders]: process.supplyExchanges.orders,
    [ExchangeName.SupplyReads]: process.supplyExchanges.reads,
  }[name];
}

const nextFault = fc
  .tuple(processIndex, exchangeName, fault)
  .map(
    ([index, name, kind]) =>
      new SimulationCommand(`fault(${index}, ${name}, ${kind})`, (simulation) =>
        exchangeOf(simulation, index, name).faults.enqueue(kind),
      ),
  );

const outage = fc
  .tuple(
    processIndex,
    exchangeName,
    fc.constantFrom(Fault.None, Fault.None, Fault.Refuse, Fault.Silent),
  )
  .map(
    ([index, name, kind]) =>
      new SimulationCommand(`defaultFault(${index}, ${name}, ${kind})`, (simulation) => {
        exchangeOf(simulation, index, name).faults.defaultFault = kind;
      }),
  );

const slow = fc.tuple(processIndex, exchangeName, networkDelay, networkDelay).map(
  ([index, name, request, answer]) =>
    new SimulationCommand(`slow(${index}, ${name}, ${request}, ${answer})`, (simulation) => {
      const exchange = exchangeOf(simulation, index, name);
      exchange.requestDelayMilliseconds = request;
      exchange.responseDelayMilliseconds = answer;
    }),
);

/** An order is delayed in the network while its holder loses the authority. */
const orderInFlight = fc
  .tuple(processIndex, engine, networkDelay, fc.constantFrom('pause', 'crash', 'stop', 'none'))
  .map(
    ([index, name, delay, end]) =>
      new SimulationCommand(
        `orderInFlight(${index}, ${name}, ${delay}, ${end})`,
        async (simulation) => {
          const exchanges = [ExchangeName.EngineOrders, ExchangeName.SupplyOrders].map((each) =>
            exchangeOf(simulation, index, each),
          );
          exchanges.forEach((exchange) => exchange.setDelays(delay, 0));
          simulation.requestEngineOrder(name, index);
          simulation.requestSupply();
          await simulation.advance(1100);
          if (end === 'pause') {
            processOf(simulation, index).clock.pause();
            await simulation.advance(14_000);
            await processOf(simulation, index).clock.resume();
          } else if (end === 'crash') {
            simulation.crashProcess(index);
          } else if (end === 'stop') {
            simulation.stop(index);
          }
          // The next orders are not delayed and may overtake the first one.
          exchanges.forEach((exchange) => exchange.setDelays(0, 0));
          for (let second = 0; second < 9; second += 1) {
            simulation.requestEngineOrder(name, second);
            await simulation.advance(1000);
          }
        },
      ),
  );

/**
 * A holder is paused while it reads an engine's state before an order, and its lease expires. It
 * resumes with the response delivered first and possibly with its wall clock set back.
 */
const pausedBeforeSend = fc
  .tuple(processIndex, engine, fc.constantFrom(1500, 1900), fc.constantFrom(0, -14_000))
  .map(
    ([index, name, delay, wallOffset]) =>
      new SimulationCommand(
        `pausedBeforeSend(${index}, ${name}, ${delay}, ${wallOffset})`,
        async (simulation) => {
          const { clock } = processOf(simulation, index);
          exchangeOf(simulation, index, ExchangeName.EngineReads).setDelays(delay, 0);
          simulation.requestEngineOrder(name, index);
          await simulation.advance(1500);
          clock.pause();
          await simulation.advance(14_000);
          clock.setWallOffset(wallOffset);
          await clock.resume(true);
          exchangeOf(simulation, index, ExchangeName.EngineReads).setDelays(0, 0);
          await simulation.advance(1000);
        },
        (model) => !model.paused.has(index),
      ),
  );

/** Replaces all running processes, so that newly started ones compete for the authority. */
async function restartElection(
  simulation: AuthoritySimulation,
  model: AuthorityModel,
): Promise<void> {
  const indices = [...simulation.processes.keys()].filter((index) => !model.paused.has(index));
  indices.forEach((index) => simulation.stop(index));
  await simulation.advance(12_000);
  indices.forEach((index) => simulation.crashProcess(index));
}

/** A fault of the write that acquires the authority, which is the fourth call of a process. */
const acquisitionFault = fault.map(
  (kind) =>
    new SimulationCommand(`acquisitionFault(${kind})`, async (simulation, model) => {
      await restartElection(simulation, model);
      simulation.processes.forEach(({ store }) => {
        [Fault.None, Fault.None, Fault.None, kind].forEach((each) =>
          store.exchange.faults.enqueue(each),
        );
      });
      await simulation.advance(25_000);
    }),
);

/** The store responds late while the authority is acquired and renewed, and then refuses requests. */
const slowThenOutage = fc.constantFrom(6000, 7000, 9000, 12_000).map(
  (milliseconds) =>
    new SimulationCommand(`slowThenOutage(${milliseconds})`, async (simulation, model) => {
      await restartElection(simulation, model);
      const exchanges = simulation.processes.map(({ store }) => store.exchange);
      exchanges.forEach((exchange) => exchange.setDelays(0, 1900));
      await simulation.advance(milliseconds);
      exchanges.forEach(({ faults }) => Object.assign(faults, { defaultFault: Fault.Refuse }));
      await simulation.advance(15_000);
      exchanges.forEach((exchange) => {
        Object.assign(exchange.faults, { defaultFault: Fault.None });
        exchange.setDelays(0, 0);
      });
    }),
);

/**
 * The holder cannot renew and sends an order just before its term ends. The order is delayed in the
 * network while another process acquires the authority and orders the same engine.
 */
const orderAtTermEnd = engine.map(
  (name) =>
    new SimulationCommand(`orderAtTermEnd(${name})`, async (simulation) => {
      const holder = simulation.processes.find(({ authority }) => authority.currentTerm);
      if (holder === undefined) {
        return;
      }
      holder.store.refusesRenewals = true;
      holder.engineExchanges.orders.setDelays(4500, 0);
      while ((holder.authority.currentTerm?.remainingMilliseconds ?? 0) > 1200) {
        await simulation.advance(100);
      }
      for (let step = 0; step < 40; step += 1) {
        simulation.requestEngineOrder(name, step);
        await simulation.advance(250);
      }
      holder.store.refusesRenewals = false;
      holder.engineExchanges.orders.setDelays(0, 0);
    }),
);

const reclaim = fc
  .nat({ max: 4 })
  .map(
    (choice) =>
      new SimulationCommand(`reclaim(${choice})`, (simulation) => simulation.reclaim(choice)),
  );

const otherZone = fc
  .constantFrom(0, 4, 8)
  .map(
    (units) =>
      new SimulationCommand(`otherZone(${units})`, (simulation) =>
        simulation.setOtherZoneSpend(units),
      ),
  );

/** Another zone's authority updates the spend while a holder with a slow store reserves an amount. */
const concurrentSpendUpdates = fc.tuple(processIndex, networkDelay, fc.constantFrom(0, 4, 8)).map(
  ([index, delay, units]) =>
    new SimulationCommand(
      `concurrentSpendUpdates(${index}, ${delay}, ${units})`,
      async (simulation) => {
        processOf(simulation, index).store.exchange.setDelays(Math.min(delay, 1500), 0);
        simulation.requestSupply();
        for (let step = 0; step < 8; step += 1) {
          await simulation.advance(500);
          simulation.setOtherZoneSpend(step % 2 === 0 ? units : 0);
        }
        processOf(simulation, index).store.exchange.setDelays(0, 0);
      },
    ),
);

const budget = fc
  .constantFrom(8, 12, 20, 32)
  .map(
    (units) =>
      new SimulationCommand(`budget(${units})`, (simulation) => simulation.setBudget(units)),
  );

/** All commands. Those that advance time and send orders are listed repeatedly to occur more often. */
export const authorityCommands = [
  advance,
  advance,
  advance,
  order,
  order,
  supply,
  release,
  pause,
  resume,
  leaseExpiry,
  crash,
  stop,
  nextFault,
  nextFault,
  outage,
  slow,
  orderInFlight,
  orderInFlight,
  pausedBeforeSend,
  acquisitionFault,
  slowThenOutage,
  orderAtTermEnd,
  reclaim,
  otherZone,
  concurrentSpendUpdates,
  budget,
];
