import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { startInstance, UsageSimulation } from './UsageSimulation.js';

import type { UsageSeal } from '../../UsageSeal.js';
import type { TestInstance } from './UsageSimulation.js';
import type { ServiceCall } from 'hickoryrelay-link/Call';
import type { Transaction } from 'hickoryrelay-platform/KeyValueStore';

export const WINDOW_MILLISECONDS = 60_000;

export const TOKEN_COUNTS = { promptTokens: 1, completionTokens: 2 };

export function callOf(request: string, key = request): ServiceCall {
  return {
    ...{ kind: 'service', requestIdentifier: request, accountName: key, className: 'work' },
    ...{ route: 'book', idempotencyKey: key, method: 'POST', path: '/', body: Buffer.from('') },
  } as ServiceCall;
}

/** Three instances in one zone and one in another. The first holds the authority. */
export function createUsageFixture() {
  const simulation = new UsageSimulation(1);
  const instances = ['a-1', 'a-2', 'a-3'].map((name) => startInstance(simulation, name, 'zone-a'));
  const remote = startInstance(simulation, 'b-1', 'zone-b');
  const [first, second, third] = instances as [TestInstance, TestInstance, TestInstance];
  simulation.grantAuthority('zone-a', first);
  const seals: UsageSeal[] = [];
  simulation.table.subscribe(({ events }) => {
    for (const event of events) {
      if (event.type === 'put' && /usage\/.*\/\d+$/u.test(event.value.key)) {
        seals.push(JSON.parse(event.value.value) as UsageSeal);
      }
    }
  });
  const lines = () => seals.flatMap((seal) => seal.lines);
  return { simulation, first, second, third, remote, seals, lines };
}

/** Whether a transaction, or one nested in it, puts or deletes a matching key. */
export function writes({ success }: Transaction, type: 'put' | 'delete', key: RegExp): boolean {
  return success.some((operation) =>
    operation.type === 'transaction'
      ? writes(operation.transaction, type, key)
      : operation.type === type && key.test(operation.key),
  );
}

/** Delays the first matching call until it is released. Its caller gets no response. */
export class DelayedCall<Argument, Result> {
  private delayed: Argument | undefined;

  constructor(
    private readonly call: (argument: Argument) => Promise<Result>,
    private readonly matches: (argument: Argument) => boolean = () => true,
  ) {}

  get isDelayed(): boolean {
    return this.delayed !== undefined;
  }

  readonly invoke = async (argument: Argument): Promise<Result> => {
    if (this.isDelayed || !this.matches(argument)) {
      return this.call(argument);
    }
    this.delayed = argument;
    const fault = { service: 'test', reason: 'delayed', mayHaveTakenEffect: true };
    throw new RelayError({ kind: FailureKind.PlatformUnavailable, ...fault });
  };

  /** Lets the call take effect. Its response is lost. */
  release(): void {
    if (this.delayed !== undefined) {
      void this.call(this.delayed);
    }
  }
}

/** Delays the first matching transaction of an instance. */
export function delayCommit(
  instance: TestInstance,
  matches: (transaction: Transaction) => boolean,
): DelayedCall<Transaction, unknown> {
  const { store } = instance;
  const delayed = new DelayedCall(store.commit.bind(store), matches);
  store.commit = delayed.invoke;
  return delayed;
}
