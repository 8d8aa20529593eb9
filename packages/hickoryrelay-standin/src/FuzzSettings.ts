/** Used when no seed is given, so that every run of the test suite is reproducible. */
const DEFAULT_SEED = 20_261_204;

/** Parameters of a stateful fuzz test. */
export interface FuzzSettings {
  readonly seed: number;
  readonly runs: number;
  /** Path that fast-check printed for a failing case; runs only that case. */
  readonly path?: string;
  /** Replay path that fast-check printed for a failing command list. */
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
