import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { startInstance, World } from './TestWorld.js';

import type { UsageSeal } from '../../UsageSeal.js';
import type { TestInstance } from './TestWorld.js';
import type { ServiceCall } from 'hickoryrelay-link/Call';
import type { Transaction } from 'hickoryrelay-platform/KeyValueStore';

export const WINDOW = 60_000;

export const FIGURES = { promptTokens: 1, completionTokens: 2 };

export function callOf(request: string, key = request): ServiceCall {
  return {
    ...{ kind: 'service', requestIdentifier: request, accountName: key, className: 'work' },
    ...{ route: 'book', idempotencyKey: key, method: 'POST', path: '/', body: Buffer.from('') },
  } as ServiceCall;
}

/** Three instances of one zone and one of another; the first holds the authority. */
export function smallWorld() {
  const world = new World(1);
  const instances = ['a-1', 'a-2', 'a-3'].map((name) => startInstance(world, name, 'zone-a'));
  const elsewhere = startInstance(world, 'b-1', 'zone-b');
  const [first, second, third] = instances as [TestInstance, TestInstance, TestInstance];
  world.grantAuthority('zone-a', first);
  const seals: UsageSeal[] = [];
  world.table.subscribe(({ events }) => {
    for (const event of events) {
      if (event.type === 'put' && /usage\/.*\/\d+$/u.test(event.value.key)) {
        seals.push(JSON.parse(event.value.value) as UsageSeal);
      }
    }
  });
  const lines = () => seals.flatMap((seal) => seal.lines);
  return { world, first, second, third, elsewhere, seals, lines };
}

/** Tells whether a transaction puts or deletes a key, in a nested transaction too. */
export function writes({ success }: Transaction, type: 'put' | 'delete', key: RegExp): boolean {
  return success.some((operation) =>
    operation.type === 'transaction'
      ? writes(operation.transaction, type, key)
      : operation.type === type && key.test(operation.key),
  );
}

/** The first matching call: the network holds it, so that its caller gets no answer. */
export class HeldCall<Argument, Answer> {
  private held: Argument | undefined;

  constructor(
    private readonly call: (argument: Argument) => Promise<Answer>,
    private readonly matches: (argument: Argument) => boolean = () => true,
  ) {}

  get isHeld(): boolean {
    return this.held !== undefined;
  }

  readonly pass = async (argument: Argument): Promise<Answer> => {
    if (this.isHeld || !this.matches(argument)) {
      return this.call(argument);
    }
    this.held = argument;
    const fault = { service: 'test', reason: 'held', mayHaveTakenEffect: true };
    throw new RelayError({ kind: FailureKind.PlatformUnavailable, ...fault });
  };

  /** Lets the call take effect. Its answer is lost. */
  release(): void {
    if (this.held !== undefined) {
      void this.call(this.held);
    }
  }
}

/** Has the network hold the first matching transaction of an instance. */
export function holdCommit(
  instance: TestInstance,
  matches: (transaction: Transaction) => boolean,
): HeldCall<Transaction, unknown> {
  const { store } = instance;
  const held = new HeldCall(store.commit.bind(store), matches);
  store.commit = held.pass;
  return held;
}
