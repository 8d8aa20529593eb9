import type { CommandContext } from './CommandContext.js';

/** Exit codes of the command-line tool. */
export const ExitCode = {
  Success: 0,
  /** A failure, or warnings or differences of a check that a flag asked for. */
  Failure: 1,
  /** Invalid arguments, an invalid file or errors of a check. */
  InvalidInput: 2,
  /** The stored configuration was changed concurrently. */
  Conflict: 3,
  /** The revision was stored, but not every live instance applied it within the wait. */
  RolloutIncomplete: 4,
  /** The compared declarations differ. */
  DifferencesFound: 5,
} as const;

export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/**
 * A command of the tool. An implementation of `run` validates the arguments, writes its result to
 * the output of the context and returns the exit code. Failures are thrown as `RelayError`.
 */
export abstract class Command {
  /** Command name, of one or more words, for example `keys issue`. */
  abstract readonly name: string;

  /** Help line: the name, the arguments and a summary. */
  abstract readonly usage: string;

  abstract run(context: CommandContext, parameters: readonly string[]): Promise<ExitCode>;
}
