import { describeFailure, FailureKind } from 'hickoryrelay/Failure';
import { failureOf, RelayError } from 'hickoryrelay/RelayError';

import { CheckCommand } from './CheckCommand.js';
import { ExitCode } from './Command.js';
import { ApplyCommand, DiffCommand, GetCommand, HistoryCommand } from './ConfigurationCommands.js';
import { IssueKeyCommand, ListKeysCommand, WithdrawKeyCommand } from './KeyCommands.js';
import {
  AccountsCommand,
  ClassesCommand,
  EndpointsCommand,
  StatusCommand,
  UsageCommand,
} from './ListCommands.js';

import type { Command } from './Command.js';
import type { CommandContext } from './CommandContext.js';
import type { Failure } from 'hickoryrelay/Failure';

function exitCodeOf(failure: Failure): ExitCode {
  switch (failure.kind) {
    case 'invalid-file':
    case 'invalid-request':
    case 'not-found':
      return ExitCode.InvalidInput;
    case 'revision-conflict':
      return ExitCode.Conflict;
    default:
      return ExitCode.Failure;
  }
}

/** Registry of all commands. */
export class CommandRegistry {
  private readonly commands: readonly Command[] = [
    new ApplyCommand(),
    new GetCommand(),
    new DiffCommand(),
    new HistoryCommand(),
    new CheckCommand(),
    new IssueKeyCommand(),
    new WithdrawKeyCommand(),
    new ListKeysCommand(),
    new AccountsCommand(),
    new ClassesCommand(),
    new EndpointsCommand(),
    new UsageCommand(),
    new StatusCommand(),
  ];

  /** Help line of each command. */
  get usage(): readonly string[] {
    return this.commands.map((command) => command.usage);
  }

  /** Runs the command that the input names. Writes a failure and returns the exit code for it. */
  async run(
    context: CommandContext,
    input: readonly string[],
    writeError: (text: string) => void,
  ): Promise<ExitCode> {
    try {
      const [command, parameters] = this.findCommand(input);
      return await command.run(context, parameters);
    } catch (error) {
      const failure = failureOf(error);
      writeError(`${describeFailure(failure)}\n`);
      return exitCodeOf(failure);
    }
  }

  private findCommand(input: readonly string[]): [Command, readonly string[]] {
    for (const command of this.commands) {
      const nameWords = command.name.split(' ');
      if (nameWords.every((name, index) => input[index] === name)) {
        return [command, input.slice(nameWords.length)];
      }
    }
    throw new RelayError({
      kind: FailureKind.NotFound,
      subject: 'command',
      name: input.join(' '),
    });
  }
}
