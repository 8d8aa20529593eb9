import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { Command, ExitCode } from './Command.js';
import { fetchInstanceStatus } from './ConfigurationRollout.js';

import type { CommandContext } from './CommandContext.js';

/** Lists client accounts. */
export class AccountsCommand extends Command {
  override readonly name = 'accounts';

  override readonly usage = 'accounts                   List client accounts';

  override async run(context: CommandContext): Promise<ExitCode> {
    const { document } = await context.requireStoredConfiguration();
    const rows = document.accounts.map(({ name, classes, keys }) => ({
      name,
      classes,
      validKeys: (keys ?? []).filter((key) => !key.withdrawn).length,
    }));
    context.list(rows, ['name', 'classes', 'validKeys']);
    return ExitCode.Success;
  }
}

/** Lists classes of work with their targets. */
export class ClassesCommand extends Command {
  override readonly name = 'classes';

  override readonly usage = 'classes                    List classes of work and their targets';

  override async run(context: CommandContext): Promise<ExitCode> {
    const { document } = await context.requireStoredConfiguration();
    const rows = document.classes.map(({ name, kind, targets }) => ({ name, kind, ...targets }));
    context.list(rows, ['name', 'kind', 'lateness', 'loss', 'cost']);
    return ExitCode.Success;
  }
}

/** Lists the endpoints that the platform supplies. */
export class EndpointsCommand extends Command {
  override readonly name = 'endpoints';

  override readonly usage = 'endpoints [--zone <zone>]  List endpoints of the platform';

  override async run(context: CommandContext): Promise<ExitCode> {
    const endpoints = await context.platform.supply.list(context.flags.zone);
    context.list(endpoints, ['identifier', 'kind', 'zone', 'state', 'url']);
    return ExitCode.Success;
  }
}

/** Shows the usage report of a zone for one window. */
export class UsageCommand extends Command {
  override readonly name = 'usage';

  override readonly usage = 'usage --zone <zone> --window <time>  Show a reported usage window';

  override async run(context: CommandContext): Promise<ExitCode> {
    const { zone, window } = context.flags;
    const start = Date.parse(window ?? '');
    if (zone === undefined || Number.isNaN(start)) {
      throw new RelayError({
        kind: FailureKind.InvalidRequest,
        field: zone === undefined ? 'zone' : 'window',
        reason: 'expected --zone <zone> and --window <ISO time of the start of the window>',
      });
    }
    const report = await context.platform.usage.find(zone, start);
    if (report === undefined) {
      const name = `${zone} ${window}`;
      throw new RelayError({ kind: FailureKind.NotFound, subject: 'usage report', name });
    }
    const columns = ['account', 'className', 'subject', 'calls', 'promptTokens'];
    context.list(report.lines, [...columns, 'completionTokens']);
    return ExitCode.Success;
  }
}

/** Shows the status of every instance in the instance list. */
export class StatusCommand extends Command {
  override readonly name = 'status';

  override readonly usage = 'status                     Show the state of every instance';

  override async run(context: CommandContext): Promise<ExitCode> {
    const listed = await context.platform.instances.list();
    const rows = await Promise.all(
      listed.map(async (instance) => {
        const status = await fetchInstanceStatus(instance);
        const { name, zone, state } = instance;
        return status ?? { name, zone, state: `${state}, no answer` };
      }),
    );
    context.list(rows, ['name', 'zone', 'state', 'ready', 'revision', 'callsInFlight']);
    return ExitCode.Success;
  }
}
