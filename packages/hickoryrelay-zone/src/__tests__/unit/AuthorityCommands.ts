import fc from 'fast-check';
import { invariant } from 'hickoryrelay/Invariant';
import { Fault } from 'hickoryrelay-standin/FaultPlan';

import { ENGINES } from './AuthorityWorld.js';
import type { AuthorityWorld, ContendingProcess } from './AuthorityWorld.js';

/** What the commands assume: which processes are paused. */
export interface AuthorityModel {
  readonly paused: Set<number>;
}

const PROCESSES = 3;

/** One command: a name, its arguments and what it does to the world. */
class WorldCommand implements fc.AsyncCommand<AuthorityModel, AuthorityWorld> {
  private readonly text: string;

  private readonly action: (world: AuthorityWorld, model: AuthorityModel) => void | Promise<void>;

  private readonly isPossible: (model: AuthorityModel) => boolean;

  constructor(
    text: string,
    action: (world: AuthorityWorld, model: AuthorityModel) => void | Promise<void>,
    isPossible: (model: AuthorityModel) => boolean = () => true,
  ) {
    this.text = text;
    this.action = action;
    this.isPossible = isPossible;
  }

  check(model: Readonly<AuthorityModel>): boolean {
    return this.isPossible(model);
  }

  async run(model: AuthorityModel, world: AuthorityWorld): Promise<void> {
    await this.action(world, model);
    await world.advance(1);
    invariant(world.violations.length === 0, `${this.text}: ${world.violations.join('; ')}`);
  }

  toString(): string {
    return this.text;
  }
}

function processOf(world: AuthorityWorld, index: number): ContendingProcess {
  return world.processes[index]!;
}

const processIndex = fc.nat({ max: PROCESSES - 1 });
const fault = fc.constantFrom(Fault.LoseAnswer, Fault.Refuse, Fault.Silent);
const engine = fc.constantFrom(...Object.keys(ENGINES));

/** Delays stay below the longest life of an order: a longer one is the documented risk. */
const networkDelay = fc.constantFrom(0, 50, 1500, 2500, 4500);

const advance = fc
  .oneof(fc.constantFrom(100, 700, 3000, 8000), fc.constantFrom(12_000, 20_000))
  .map((ms) => new WorldCommand(`advance(${ms})`, (world) => world.advance(ms)));

const order = fc
  .tuple(engine, fc.nat({ max: 2 }))
  .map(
    ([name, choice]) =>
      new WorldCommand(`order(${name}, ${choice})`, (world) => world.wishEngineOrder(name, choice)),
  );

const supply = fc.constant(new WorldCommand('supply()', (world) => world.wishSupply()));

const release = fc
  .nat({ max: 4 })
  .map((choice) => new WorldCommand(`release(${choice})`, (world) => world.wishRelease(choice)));

const pause = processIndex.map(
  (index) =>
    new WorldCommand(
      `pause(${index})`,
      (world, model) => {
        model.paused.add(index);
        processOf(world, index).clock.pause();
      },
      (model) => !model.paused.has(index),
    ),
);

const resume = fc.tuple(processIndex, fc.boolean()).map(
  ([index, arrivalsFirst]) =>
    new WorldCommand(
      `resume(${index}, ${arrivalsFirst})`,
      async (world, model) => {
        model.paused.delete(index);
        await processOf(world, index).clock.resume(arrivalsFirst);
      },
      (model) => model.paused.has(index),
    ),
);

/** The lease lapses while its holder is paused. */
const lapse = processIndex.map(
  (index) =>
    new WorldCommand(
      `lapse(${index})`,
      async (world) => {
        processOf(world, index).clock.pause();
        await world.advance(30_000);
        await processOf(world, index).clock.resume();
      },
      (model) => !model.paused.has(index),
    ),
);

const crash = processIndex.map(
  (index) =>
    new WorldCommand(`crash(${index})`, (world, model) => {
      model.paused.delete(index);
      world.crash(index);
    }),
);

const stop = processIndex.map(
  (index) =>
    new WorldCommand(
      `stop(${index})`,
      (world) => world.stop(index),
      (model) => !model.paused.has(index),
    ),
);

const Target = {
  Store: 'store',
  EngineOrders: 'engine-orders',
  EngineReads: 'engine-reads',
  SupplyOrders: 'supply-orders',
  SupplyReads: 'supply-reads',
} as const;
type Target = (typeof Target)[keyof typeof Target];
const target = fc.constantFrom<Target>(...Object.values(Target));

function exchangeOf(world: AuthorityWorld, index: number, name: Target) {
  const process = processOf(world, index);
  return {
    [Target.Store]: process.store.exchange,
    [Target.EngineOrders]: process.engineExchanges.orders,
    [Target.EngineReads]: process.engineExchanges.reads,
    [Target.SupplyOrders]: process.supplyExchanges.orders,
    [Target.SupplyReads]: process.supplyExchanges.reads,
  }[name];
}

const nextFault = fc
  .tuple(processIndex, target, fault)
  .map(
    ([index, name, kind]) =>
      new WorldCommand(`fault(${index}, ${name}, ${kind})`, (world) =>
        exchangeOf(world, index, name).faults.next(kind),
      ),
  );

const outage = fc
  .tuple(processIndex, target, fc.constantFrom(Fault.None, Fault.None, Fault.Refuse, Fault.Silent))
  .map(
    ([index, name, kind]) =>
      new WorldCommand(`standing(${index}, ${name}, ${kind})`, (world) => {
        exchangeOf(world, index, name).faults.standing = kind;
      }),
  );

const slow = fc.tuple(processIndex, target, networkDelay, networkDelay).map(
  ([index, name, request, answer]) =>
    new WorldCommand(`slow(${index}, ${name}, ${request}, ${answer})`, (world) => {
      const exchange = exchangeOf(world, index, name);
      exchange.requestMilliseconds = request;
      exchange.answerMilliseconds = answer;
    }),
);

/** An order whose request the network holds while its holder loses the authority. */
const orderInFlight = fc
  .tuple(processIndex, engine, networkDelay, fc.constantFrom('pause', 'crash', 'stop', 'none'))
  .map(
    ([index, name, delay, end]) =>
      new WorldCommand(`orderInFlight(${index}, ${name}, ${delay}, ${end})`, async (world) => {
        const exchanges = [Target.EngineOrders, Target.SupplyOrders].map((each) =>
          exchangeOf(world, index, each),
        );
        exchanges.forEach((exchange) => exchange.slow(delay, 0));
        world.wishEngineOrder(name, index);
        world.wishSupply();
        await world.advance(1100);
        if (end === 'pause') {
          processOf(world, index).clock.pause();
          await world.advance(14_000);
          await processOf(world, index).clock.resume();
        } else if (end === 'crash') {
          world.crash(index);
        } else if (end === 'stop') {
          world.stop(index);
        }
        // The next orders are not held up, and may overtake the first one.
        exchanges.forEach((exchange) => exchange.slow(0, 0));
        for (let second = 0; second < 9; second += 1) {
          world.wishEngineOrder(name, second);
          await world.advance(1000);
        }
      }),
  );

/**
 * A holder is paused while it reads an engine's state before an order, its lease lapses, and it
 * wakes up with the answer first and with a wall clock that may have been set back.
 */
const pausedBeforeSend = fc
  .tuple(processIndex, engine, fc.constantFrom(1500, 1900), fc.constantFrom(0, -14_000))
  .map(
    ([index, name, delay, wallOffset]) =>
      new WorldCommand(
        `pausedBeforeSend(${index}, ${name}, ${delay}, ${wallOffset})`,
        async (world) => {
          const { clock } = processOf(world, index);
          exchangeOf(world, index, Target.EngineReads).slow(delay, 0);
          world.wishEngineOrder(name, index);
          await world.advance(1500);
          clock.pause();
          await world.advance(14_000);
          clock.setWallOffset(wallOffset);
          await clock.resume(true);
          exchangeOf(world, index, Target.EngineReads).slow(0, 0);
          await world.advance(1000);
        },
        (model) => !model.paused.has(index),
      ),
  );

/** Hands the authority over to processes that have just started. */
async function startAnew(world: AuthorityWorld, model: AuthorityModel): Promise<void> {
  const indices = [...world.processes.keys()].filter((index) => !model.paused.has(index));
  indices.forEach((index) => world.stop(index));
  await world.advance(12_000);
  indices.forEach((index) => world.crash(index));
}

/** A fault of the write that takes the authority: the fourth call of a process. */
const faultOfTaking = fault.map(
  (kind) =>
    new WorldCommand(`faultOfTaking(${kind})`, async (world, model) => {
      await startAnew(world, model);
      world.processes.forEach(({ store }) => {
        [Fault.None, Fault.None, Fault.None, kind].forEach((each) =>
          store.exchange.faults.next(each),
        );
      });
      await world.advance(25_000);
    }),
);

/** The service answers late while the authority is taken and renewed, and then not at all. */
const slowThenOut = fc.constantFrom(6000, 7000, 9000, 12_000).map(
  (milliseconds) =>
    new WorldCommand(`slowThenOut(${milliseconds})`, async (world, model) => {
      await startAnew(world, model);
      const exchanges = world.processes.map(({ store }) => store.exchange);
      exchanges.forEach((exchange) => exchange.slow(0, 1900));
      await world.advance(milliseconds);
      exchanges.forEach(({ faults }) => Object.assign(faults, { standing: Fault.Refuse }));
      await world.advance(15_000);
      exchanges.forEach((exchange) => {
        Object.assign(exchange.faults, { standing: Fault.None });
        exchange.slow(0, 0);
      });
    }),
);

/**
 * The holder cannot renew and sends an order just before its term ends. The network holds the order
 * while a successor takes over and orders the same engine.
 */
const orderAtTermEnd = engine.map(
  (name) =>
    new WorldCommand(`orderAtTermEnd(${name})`, async (world) => {
      const holder = world.processes.find(({ authority }) => authority.currentTerm);
      if (holder === undefined) {
        return;
      }
      holder.store.refusesRenewals = true;
      holder.engineExchanges.orders.slow(4500, 0);
      while ((holder.authority.currentTerm?.remainingMilliseconds ?? 0) > 1200) {
        await world.advance(100);
      }
      for (let step = 0; step < 40; step += 1) {
        world.wishEngineOrder(name, step);
        await world.advance(250);
      }
      holder.store.refusesRenewals = false;
      holder.engineExchanges.orders.slow(0, 0);
    }),
);

const reclaim = fc
  .nat({ max: 4 })
  .map((choice) => new WorldCommand(`reclaim(${choice})`, (world) => world.reclaim(choice)));

const otherZone = fc
  .constantFrom(0, 4, 8)
  .map((units) => new WorldCommand(`otherZone(${units})`, (world) => world.changeOtherZone(units)));

/** Another zone's authority changes the spend while a holder with a slow service reserves. */
const raceForSpend = fc.tuple(processIndex, networkDelay, fc.constantFrom(0, 4, 8)).map(
  ([index, delay, units]) =>
    new WorldCommand(`raceForSpend(${index}, ${delay}, ${units})`, async (world) => {
      processOf(world, index).store.exchange.slow(Math.min(delay, 1500), 0);
      world.wishSupply();
      for (let step = 0; step < 8; step += 1) {
        await world.advance(500);
        world.changeOtherZone(step % 2 === 0 ? units : 0);
      }
      processOf(world, index).store.exchange.slow(0, 0);
    }),
);

const budget = fc
  .constantFrom(8, 12, 20, 32)
  .map((units) => new WorldCommand(`budget(${units})`, (world) => world.setBudget(units)));

/** All commands. Those that move time and send orders come up more often. */
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
  lapse,
  crash,
  stop,
  nextFault,
  nextFault,
  outage,
  slow,
  orderInFlight,
  orderInFlight,
  pausedBeforeSend,
  faultOfTaking,
  slowThenOut,
  orderAtTermEnd,
  reclaim,
  otherZone,
  raceForSpend,
  budget,
];
