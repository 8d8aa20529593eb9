import { stringify } from 'yaml';
import { diffDeclarations, mergeStoredKeys } from 'hickoryrelay-contract/DeclarationsChange';

import { CHANGE_SYMBOLS, changeLines } from './ChangeLines.js';
import { Command, ExitCode } from './Command.js';
import { ConfigurationRollout, findRevisionInForce } from './ConfigurationRollout.js';
import type { CommandContext } from './CommandContext.js';
import type { EntryChange } from 'hickoryrelay-contract/DeclarationsChange';

function writeChanges(context: CommandContext, changes: readonly EntryChange[]): void {
  if (context.flags.json) {
    context.writeLine(JSON.stringify(changes, undefined, 2));
    return;
  }
  for (const line of changeLines(changes)) {
    context.writeLine(line);
  }
}

/** Replaces the stored configuration with a declarations file. */
export class ApplyCommand extends Command {
  override readonly name = 'apply';

  override readonly usage = 'apply <file> [--dry-run]   Replace the configuration with a file';

  override async run(context: CommandContext, parameters: readonly string[]): Promise<ExitCode> {
    const file = context.requireArgument(parameters, 0, 'file');
    const declarations = await context.readDeclarations(file);
    const stored = await context.readStoredConfiguration();
    const updated = mergeStoredKeys(declarations, stored.document);
    const changes = diffDeclarations(stored.document, updated);
    writeChanges(context, changes);
    if (changes.length === 0 || context.flags.dryRun) {
      return ExitCode.Success;
    }
    const revisionInForce = await findRevisionInForce(context);
    const isBehind = stored.revision < revisionInForce;
    if (isBehind) {
      context.writeLine(
        `Revision ${revisionInForce} is in force, but the store has revision ${stored.revision}. ` +
          'If the store was restored from an older copy, the instances put theirs back in seconds.',
      );
    }
    const expected = isBehind && context.flags.supersede ? revisionInForce : stored.revision;
    const change = {
      author: context.author,
      summary: changes
        .map(({ kind, name }) => `${CHANGE_SYMBOLS[kind]}${name}`)
        .join(' ')
        .slice(0, 200),
      wallMilliseconds: context.clock.wallMilliseconds(),
    };
    const { configurations } = context.platform;
    const head = await configurations.replace(updated, expected, change, revisionInForce);
    context.writeLine(`Revision ${head.revision} is accepted.`);
    return new ConfigurationRollout(context).waitForCompletion(head.revision);
  }
}

/** Shows the stored configuration. */
export class GetCommand extends Command {
  override readonly name = 'get';

  override readonly usage = 'get                        Show the stored configuration as YAML';

  override async run(context: CommandContext): Promise<ExitCode> {
    const { revision, document } = await context.requireStoredConfiguration();
    context.writeLine(
      context.flags.json
        ? JSON.stringify({ revision, document }, undefined, 2)
        : `# revision ${revision}\n${stringify(document)}`,
    );
    return ExitCode.Success;
  }
}

/** Compares a declarations file with the stored configuration. */
export class DiffCommand extends Command {
  override readonly name = 'diff';

  override readonly usage = 'diff <file>                Compare a file with the configuration';

  override async run(context: CommandContext, parameters: readonly string[]): Promise<ExitCode> {
    const declarations = await context.readDeclarations(
      context.requireArgument(parameters, 0, 'file'),
    );
    const stored = await context.readStoredConfiguration();
    const changes = diffDeclarations(
      stored.document,
      mergeStoredKeys(declarations, stored.document),
    );
    writeChanges(context, changes);
    return changes.length === 0 ? ExitCode.Success : ExitCode.DifferencesFound;
  }
}

/** Lists recent changes of the configuration. */
export class HistoryCommand extends Command {
  override readonly name = 'history';

  override readonly usage = 'history                    List the changes of the configuration';

  override async run(context: CommandContext): Promise<ExitCode> {
    const history = await context.platform.configurations.readHistory();
    const rows = history.map(({ wallMilliseconds, ...entry }) => ({
      ...entry,
      time: new Date(wallMilliseconds).toISOString(),
    }));
    context.list(rows, ['revision', 'time', 'author', 'summary']);
    return ExitCode.Success;
  }
}
