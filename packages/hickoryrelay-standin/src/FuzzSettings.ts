/** Seed of runs that name none, so that every run of the suite has the same verdict. */
const DEFAULT_SEED = 20_261_204;

/** How a stateful fuzz test runs. */
export interface FuzzSettings {
  readonly seed: number;
  readonly runs: number;
  /** Path that fast-check printed for a failure, to run only that case. */
  readonly path?: string;
  /** Replay path that fast-check printed for a list of commands. */
  readonly replayPath?: string;
}

/** Reads `FUZZ_SEED`, `FUZZ_RUNS`, `FUZZ_PATH` and `FUZZ_REPLAY` from the environment. */
export function fuzzSettings(defaultRuns: number): FuzzSettings {
  const { FUZZ_SEED, FUZZ_RUNS, FUZZ_PATH, FUZZ_REPLAY } = process.env;
  return {
    seed: Number(FUZZ_SEED ?? DEFAULT_SEED),
    runs: Number(FUZZ_RUNS ?? defaultRuns),
    ...(FUZZ_PATH === undefined ? {} : { path: FUZZ_PATH }),
    ...(FUZZ_REPLAY === undefined ? {} : { replayPath: FUZZ_REPLAY }),
  };
}
