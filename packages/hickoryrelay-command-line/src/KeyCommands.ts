import { FailureKind } from 'hickoryrelay/Failure';
import { hasFailureKind, RelayError } from 'hickoryrelay/RelayError';
import { AccessKey } from 'hickoryrelay-contract/AccessKey';

import { Command, ExitCode } from './Command.js';
import { ConfigurationRollout, findRevisionInForce } from './ConfigurationRollout.js';
import type { CommandContext } from './CommandContext.js';
import type { AccessKeyDeclaration } from 'hickoryrelay-contract/AccessKey';
import type { ClientAccountDeclaration } from 'hickoryrelay-contract/ClientAccount';
import type { DeclarationsDocument } from 'hickoryrelay-contract/Declarations';

const MAX_UPDATE_ATTEMPTS = 5;

type AccountUpdate = (document: DeclarationsDocument) => ClientAccountDeclaration;

/** Updates an account in the stored configuration. Retries after a concurrent change. */
async function updateAccount(
  context: CommandContext,
  summary: string,
  update: AccountUpdate,
): Promise<number> {
  for (let attempt = 1; ; attempt += 1) {
    const { revision, document } = await context.requireStoredConfiguration();
    const updatedAccount = update(document);
    const accounts = document.accounts.map((account) =>
      account.name === updatedAccount.name ? updatedAccount : account,
    );
    try {
      const head = await context.platform.configurations.replace(
        { ...document, accounts },
        revision,
        { author: context.author, summary, wallMilliseconds: context.clock.wallMilliseconds() },
        await findRevisionInForce(context),
      );
      return head.revision;
    } catch (error) {
      if (!hasFailureKind(error, FailureKind.RevisionConflict) || attempt === MAX_UPDATE_ATTEMPTS) {
        throw error;
      }
    }
  }
}

function findAccount(document: DeclarationsDocument, name: string): ClientAccountDeclaration {
  const account = document.accounts.find((each) => each.name === name);
  if (account === undefined) {
    throw new RelayError({ kind: FailureKind.NotFound, subject: 'client account', name });
  }
  return account;
}

function withKey(
  account: ClientAccountDeclaration,
  key: AccessKeyDeclaration,
): ClientAccountDeclaration {
  const others = (account.keys ?? []).filter((each) => each.identifier !== key.identifier);
  return { ...account, keys: [...others, key] };
}

/** Issues an access key. The secret is printed only once, because only its hash is stored. */
export class IssueKeyCommand extends Command {
  override readonly name = 'keys issue';

  override readonly usage = 'keys issue <account>       Issue an access key; it is shown once';

  override async run(context: CommandContext, parameters: readonly string[]): Promise<ExitCode> {
    const name = context.requireArgument(parameters, 0, 'account');
    const { text, declaration } = AccessKey.issue(context.random);
    const revision = await updateAccount(
      context,
      `issue key ${declaration.identifier} for ${name}`,
      (document) => withKey(findAccount(document, name), declaration),
    );
    context.writeLine(
      context.flags.json
        ? JSON.stringify({ account: name, identifier: declaration.identifier, key: text, revision })
        : `Key ${declaration.identifier} of ${name}, shown only now: ${text}`,
    );
    return new ConfigurationRollout(context).waitForCompletion(revision);
  }
}

/** Withdraws an access key permanently. */
export class WithdrawKeyCommand extends Command {
  override readonly name = 'keys withdraw';

  override readonly usage = 'keys withdraw <identifier> Withdraw an access key permanently';

  override async run(context: CommandContext, parameters: readonly string[]): Promise<ExitCode> {
    const identifier = context.requireArgument(parameters, 0, 'identifier');
    const revision = await updateAccount(context, `withdraw key ${identifier}`, (document) => {
      for (const account of document.accounts) {
        const key = account.keys?.find((each) => each.identifier === identifier);
        if (key !== undefined) {
          return withKey(account, { ...key, withdrawn: true });
        }
      }
      throw new RelayError({ kind: FailureKind.NotFound, subject: 'access key', name: identifier });
    });
    context.writeLine(`Key ${identifier} is withdrawn by revision ${revision}.`);
    return new ConfigurationRollout(context).waitForCompletion(revision);
  }
}

/** Lists access keys by identifier, without their secrets. */
export class ListKeysCommand extends Command {
  override readonly name = 'keys list';

  override readonly usage = 'keys list [account]        List access keys by identifier';

  override async run(context: CommandContext, parameters: readonly string[]): Promise<ExitCode> {
    const [requestedAccount] = parameters;
    const { document } = await context.requireStoredConfiguration();
    const accounts =
      requestedAccount === undefined
        ? document.accounts
        : [findAccount(document, requestedAccount)];
    const rows = accounts.flatMap((account) =>
      (account.keys ?? []).map(({ identifier, withdrawn }) => ({
        identifier,
        account: account.name,
        state: withdrawn ? 'withdrawn' : 'valid',
      })),
    );
    context.list(rows, ['identifier', 'account', 'state']);
    return ExitCode.Success;
  }
}
