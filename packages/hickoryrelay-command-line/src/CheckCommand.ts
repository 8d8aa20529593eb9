import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { DeclarationsFile, SettingsFile } from './CheckedFile.js';
import { Command } from './Command.js';
import { FileCheck } from './FileCheck.js';

import type { ExitCode } from './Command.js';
import type { CommandContext, CommandFlags } from './CommandContext.js';

function conflictOf({ settings, stored, against }: CommandFlags): string | undefined {
  if (stored && against !== undefined) {
    return '--stored and --against exclude each other';
  }
  return stored && settings ? '--stored compares declarations only' : undefined;
}

/**
 * Checks a file before it is sent: errors, entries without effect, limits that contradict each other and,
 * on request, differences from the version in force. Connects to the platform only with `--stored`.
 */
export class CheckCommand extends Command {
  override readonly name = 'check';

  override readonly usage = 'check <file> [--settings]  Check a declarations or settings file';

  override async run(context: CommandContext, parameters: readonly string[]): Promise<ExitCode> {
    const file = context.requireArgument(parameters, 0, 'file');
    const { flags } = context;
    const reason = conflictOf(flags);
    if (reason !== undefined) {
      throw new RelayError({ kind: FailureKind.InvalidRequest, field: 'flags', reason });
    }
    const writeLine = (line: string) => context.writeLine(line);
    if (flags.settings) {
      return new FileCheck(new SettingsFile(), flags, writeLine).run(file);
    }
    const check = new FileCheck(new DeclarationsFile(context), flags, writeLine);
    return flags.stored
      ? check.run(file, async () => (await context.requireStoredConfiguration()).document)
      : check.run(file);
  }
}
