import fc from 'fast-check';
import { describe, it } from 'vitest';
import { FaultKind, FaultTally } from 'hickoryrelay-standin/FaultTally';
import { fuzzSettings } from 'hickoryrelay-standin/FuzzSettings';

import { PathState } from 'hickoryrelay-standin/MemoryPeerTransport';
import { FederationModel, NAMES } from './FederationModel.js';

/**
 * `FUZZ_SEED`, `FUZZ_PATH` and `FUZZ_REPLAY` (the path and replayPath that fast-check prints) replay
 * a failure; the seed alone repeats all runs.
 */
const { seed: SEED, runs: RUNS, path: FUZZ_PATH, replayPath: FUZZ_REPLAY } = fuzzSettings(60);

const FAULTS = [
  FaultKind.Kill,
  FaultKind.Pause,
  FaultKind.CutLink,
  FaultKind.RefusedConnection,
  FaultKind.SilentConnection,
  FaultKind.LostMessage,
  FaultKind.Outage,
  FaultKind.LostAnswer,
  FaultKind.DelayedRequest,
  FaultKind.SilentWatch,
  FaultKind.DelayedWatch,
  FaultKind.LostRace,
];

type Real = FederationModel;
interface State {
  readonly running: Set<string>;
}

/** One step of a model run: what it is called, when it may run and what it does. */
class Step implements fc.AsyncCommand<State, Real> {
  private readonly label: string;

  private readonly allowed: (state: State) => boolean;

  private readonly action: (real: Real, state: State) => Promise<void> | void;

  constructor(
    label: string,
    action: (real: Real, state: State) => Promise<void> | void,
    allowed: (state: State) => boolean = () => true,
  ) {
    this.label = label;
    this.action = action;
    this.allowed = allowed;
  }

  check(state: Readonly<State>): boolean {
    return this.allowed(state);
  }

  async run(state: State, real: Real): Promise<void> {
    await this.action(real, state);
    await real.elapse(500);
  }

  toString(): string {
    return this.label;
  }
}

const name = fc.constantFrom(...NAMES);
const pair = fc.tuple(name, name).filter(([left, right]) => left !== right);
const urlOf = (instance: string) => `ws://${instance}`;

const steps = [
  name.map(
    (each) =>
      new Step(
        `start ${each}`,
        async (real, state) => {
          state.running.add(each);
          await real.start(each);
        },
        (state) => !state.running.has(each),
      ),
  ),
  name.map(
    (each) =>
      new Step(
        `kill ${each}`,
        (real, state) => {
          state.running.delete(each);
          real.kill(each);
        },
        (state) => state.running.has(each),
      ),
  ),
  name.map(
    (each) =>
      new Step(
        `restart ${each}`,
        async (real) => {
          real.kill(each);
          await real.elapse(500);
          await real.start(each);
        },
        (state) => state.running.has(each),
      ),
  ),
  fc
    .tuple(name, fc.boolean())
    .map(
      ([each, paused]) =>
        new Step(`pause ${each} ${paused}`, (real) => real.federation.setPaused(each, paused)),
    ),
  fc
    .tuple(pair, fc.constantFrom(...Object.values(PathState)))
    .map(
      ([[left, right], state]) =>
        new Step(`path ${left} ${right} ${state}`, (real) =>
          real.federation.net.setPath(urlOf(left), urlOf(right), state),
        ),
    ),
  pair.map(
    ([left, right]) =>
      new Step(`silence ${left} ${right}`, (real) =>
        real.federation.net.silenceConnections(urlOf(left), urlOf(right)),
      ),
  ),
  fc.boolean().map(
    (isOut) =>
      new Step(`platform out ${isOut}`, (real) => {
        const { platform } = real.federation;
        platform.isOut = isOut;
      }),
  ),
  fc.constantFrom(2, 700, 1900, 2500).map(
    (milliseconds) =>
      new Step(`platform answers after ${milliseconds} ms`, (real) => {
        const { platform } = real.federation;
        platform.answerDelayMilliseconds = milliseconds;
      }),
  ),
  fc.constantFrom(2, 4000, 12_000).map(
    (milliseconds) =>
      new Step(`watches lag ${milliseconds} ms`, (real) => {
        const { platform } = real.federation;
        platform.watchDelayMilliseconds = milliseconds;
      }),
  ),
  fc.boolean().map(
    (isSilent) =>
      new Step(`watches silent ${isSilent}`, (real) => {
        const { platform } = real.federation;
        platform.silencesWatches = isSilent;
      }),
  ),
  name.map(
    (each) =>
      new Step(`no platform for ${each}`, (real) => {
        real.federation.platform.unreachableFor.add(each);
      }),
  ),
  fc
    .tuple(fc.integer({ min: 1, max: 3 }), fc.nat({ max: 3 }))
    .map(
      ([operators, lost]) =>
        new Step(`race of ${operators}, ${lost} answers lost`, (real) =>
          real.race(operators, lost),
        ),
    ),
  fc.constant(new Step('withdraw the key', (real) => real.withdrawKey())),
  fc
    .constantFrom(500, 2000, 7000, 20_000)
    .map((milliseconds) => new Step(`elapse ${milliseconds}`, (real) => real.elapse(milliseconds))),
];

describe('configuration by platform and peers', () => {
  it(`never reverts, is never mixed, and arrives everywhere once faults end (FUZZ_SEED=${SEED} FUZZ_RUNS=${RUNS})`, async () => {
    const tally = new FaultTally();
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 1, max: 1_000_000 }),
        fc.boolean(),
        fc.commands(steps, {
          maxCommands: 40,
          size: 'max',
          ...(FUZZ_REPLAY !== undefined && { replayPath: FUZZ_REPLAY }),
        }),
        async (seed, endsWithPlatform, commands) => {
          const real = new FederationModel(seed, tally);
          try {
            await real.race(1, 0);
            const running = new Set(NAMES.slice(0, 4));
            for (const each of running) {
              await real.start(each);
            }
            await real.elapse(2000);
            await fc.asyncModelRun(() => ({ model: { running }, real }), commands);
            await (endsWithPlatform ? real.judgeEnd() : real.judgeEndWithoutPlatform());
          } finally {
            real.federation.stop();
          }
        },
      ),
      {
        numRuns: RUNS,
        seed: SEED,
        ...(FUZZ_PATH !== undefined && { path: FUZZ_PATH }),
        endOnFailure: FUZZ_PATH !== undefined,
      },
    );
    process.stdout.write(tally.describe('configuration', FAULTS));
  }, 600_000);
});
