import type { CommandContext } from './CommandContext.js';

/** Exit codes of the command-line tool. */
export const ExitCode = {
  Success: 0,
  Failure: 1,
  /** Wrong usage, or a file that is not valid. */
  InvalidInput: 2,
  /** Another operator changed the configuration first. */
  Conflict: 3,
  /** Accepted, but not in force at every live instance within the wait. */
  NotInForce: 4,
  /** The compared declarations differ. */
  Different: 5,
} as const;

export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/**
 * One command of the tool. An override checks its arguments, writes its result to the context's
 * output and returns the exit code. Failures are thrown as `RelayError`.
 */
export abstract class Command {
  /** The words that select the command, for example `keys issue`. */
  abstract readonly name: string;

  /** Arguments and one line of help. */
  abstract readonly usage: string;

  abstract run(context: CommandContext, parameters: readonly string[]): Promise<ExitCode>;
}
