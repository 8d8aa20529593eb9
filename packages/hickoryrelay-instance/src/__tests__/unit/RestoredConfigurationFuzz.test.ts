import fc from 'fast-check';
import { describe, it } from 'vitest';
import { invariant } from 'hickoryrelay/Invariant';
import { HEAD_KEY } from 'hickoryrelay-platform/ConfigurationStore';
import { fuzzSettings } from 'hickoryrelay-standin/FuzzSettings';
import { sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';
import { SimulatedFederation } from 'hickoryrelay-standin/SimulatedFederation';

import type { ConfigurationHead } from 'hickoryrelay-platform/ConfigurationStore';
import type { KeyValueTableCopy } from 'hickoryrelay-standin/KeyValueTable';

const { seed: SEED, runs: RUNS, path: FUZZ_PATH } = fuzzSettings(40);

const NAMES = ['a-1', 'a-2', 'b-1', 'b-2'] as const;
const LIMIT_MILLISECONDS = 19_000;
const STEP_MILLISECONDS = 500;

/** A federation whose store is restored, and the oracle of its configurations. */
class RestoredFederation {
  readonly federation: SimulatedFederation;

  private readonly copies: KeyValueTableCopy[] = [];

  /** Revisions that each running instance has had in force. */
  private readonly revisions = new Map<string, number[]>();

  private readonly contents = new Map<number, string>();

  private changes = 0;

  constructor(seed: number) {
    this.federation = new SimulatedFederation(seed);
  }

  get highestInForce(): number {
    return Math.max(0, ...[...this.federation.instances.values()].map(({ view }) => view.revision));
  }

  get storedRevision(): number {
    const [head] = this.federation.platform.table.range(HEAD_KEY).values;
    return head === undefined ? 0 : (JSON.parse(head.value) as ConfigurationHead).revision;
  }

  async start(name: string): Promise<void> {
    const seen: number[] = [];
    this.revisions.set(name, seen);
    const instance = await this.federation.start(name, name.startsWith('a') ? 'zone-a' : 'zone-b');
    instance.view.subscribe((declarations, revision) => {
      const last = seen.at(-1) ?? 0;
      invariant(revision > last, `${name} went from revision ${last} to ${revision}`);
      seen.push(revision);
      const content = JSON.stringify(declarations.document.budget);
      const known = this.contents.get(revision) ?? content;
      invariant(known === content, `revision ${revision} is in force with two contents`);
      this.contents.set(revision, content);
    });
  }

  async restart(name: string): Promise<void> {
    this.federation.kill(name);
    await this.start(name);
  }

  /** Changes the configuration as the command-line tool does. Returns whether it was accepted. */
  async change(isSuperseding: boolean): Promise<boolean> {
    const { highestInForce, storedRevision } = this;
    this.changes += 1;
    const document = sampleDeclarations();
    document.budget.costPerHour = this.changes;
    const expected = isSuperseding ? Math.max(highestInForce, storedRevision) : storedRevision;
    const change = { author: 'operator', summary: 'change', wallMilliseconds: 0 };
    const store = this.federation.operator('operator');
    const [isAccepted] = await Promise.all([
      store.replace(document, expected, change, highestInForce).then(
        () => true,
        () => false,
      ),
      this.advance(STEP_MILLISECONDS),
    ]);
    return isAccepted;
  }

  copy(): void {
    this.copies.push(this.federation.platform.table.copy());
  }

  restore(position: number, keepsClusterIdentifier: boolean): void {
    const copy = this.copies[position % Math.max(1, this.copies.length)];
    if (copy !== undefined) {
      this.federation.platform.table.restore(copy, { keepsClusterIdentifier });
    }
  }

  async advance(milliseconds: number): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
      await this.federation.clock.advance(STEP_MILLISECONDS);
    }
  }

  /** Asserts that the store has the highest revision in force, or one that no instance has had. */
  assertPutBack(): void {
    const { storedRevision, highestInForce } = this;
    const isKnown = [...this.revisions.values()].some((seen) => seen.includes(storedRevision));
    invariant(
      storedRevision >= highestInForce || (!isKnown && storedRevision > 0),
      `the store has revision ${storedRevision}, but ${highestInForce} is in force`,
    );
  }

  assertConvergence(): void {
    for (const { name, view } of this.federation.instances.values()) {
      const { storedRevision } = this;
      invariant(
        view.revision === storedRevision && view.ageMilliseconds < LIMIT_MILLISECONDS,
        `${name} has revision ${view.revision}, the store has ${storedRevision}`,
      );
    }
  }
}

const nameArbitrary = fc.constantFrom(...NAMES);

const stepArbitrary = fc.oneof(
  { weight: 4, arbitrary: fc.record({ type: fc.constant('change' as const), flag: fc.boolean() }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('copy' as const) }) },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constant('restore' as const),
      position: fc.nat({ max: 9 }),
      keepsClusterIdentifier: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ type: fc.constant('restart' as const), name: nameArbitrary }),
  },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('cut' as const), name: nameArbitrary }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('heal' as const) }) },
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant('elapse' as const),
      milliseconds: fc.constantFrom(500, 3000, 9000),
    }),
  },
);

type Step = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

async function perform(model: RestoredFederation, step: Step): Promise<void> {
  const { unreachableCallers } = model.federation.platform;
  switch (step.type) {
    case 'change':
      await model.change(step.flag);
      break;
    case 'copy':
      model.copy();
      break;
    case 'restore':
      model.restore(step.position, step.keepsClusterIdentifier);
      break;
    case 'restart':
      await model.restart(step.name);
      break;
    case 'cut':
      unreachableCallers.add(step.name);
      break;
    case 'heal':
      unreachableCallers.clear();
      break;
    default:
      await model.advance(step.milliseconds);
  }
}

describe('configurations while the store is restored from older copies', () => {
  // Guards against instances that go back, against a change that is lost although an instance has it, and
  // against changes of operators that never take effect.
  it(`never go back and reach every instance (FUZZ_SEED=${SEED} FUZZ_RUNS=${RUNS})`, async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 1, max: 1_000_000 }),
        fc.array(stepArbitrary, { minLength: 5, maxLength: 40, size: 'max' }),
        async (seed, steps) => {
          const model = new RestoredFederation(seed);
          try {
            model.copy();
            await model.change(false);
            for (const name of NAMES) {
              await model.start(name);
            }
            await model.advance(3000);
            for (const step of steps) {
              await perform(model, step);
            }
            model.federation.platform.unreachableCallers.clear();
            await model.advance(LIMIT_MILLISECONDS);
            model.assertPutBack();
            const isAccepted = await model.change(true);
            invariant(isAccepted, 'the last change was refused');
            await model.advance(LIMIT_MILLISECONDS);
            model.assertConvergence();
          } finally {
            model.federation.stop();
          }
        },
      ),
      {
        numRuns: RUNS,
        seed: SEED,
        ...(FUZZ_PATH !== undefined && { path: FUZZ_PATH }),
      },
    );
  }, 600_000);
});
