import { z } from 'zod';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { parseKey } from './AccessKey.js';
import { ClassOfWork, classOfWorkSchema, WorkKind } from './ClassOfWork.js';
import { ClientAccount, clientAccountSchema } from './ClientAccount.js';
import { endpointKindSchema } from './EndpointKind.js';

import type { AccessKey } from './AccessKey.js';
import type { EndpointKind } from './EndpointKind.js';

const DEFAULT_STALE_KEY_SECONDS = 3600;

const budgetSchema = z.strictObject({
  /** Highest spend on endpoints for an hour, shared by all client accounts. */
  costPerHour: z.number().positive(),
});

const declarationsObject = z.strictObject({
  version: z.literal(1),
  budget: budgetSchema,
  /** How long keys are accepted on a configuration that could not be confirmed, in seconds. */
  staleKeySeconds: z.number().int().positive().default(DEFAULT_STALE_KEY_SECONDS),
  classes: z.array(classOfWorkSchema).min(1),
  accounts: z.array(clientAccountSchema),
  endpointKinds: z.array(endpointKindSchema),
});

type DeclarationsObject = z.output<typeof declarationsObject>;

function reportRepeatedNames(
  list: readonly { name: string }[],
  field: string,
  context: z.RefinementCtx,
): void {
  const seen = new Set<string>();
  for (const [index, { name }] of list.entries()) {
    if (seen.has(name)) {
      context.addIssue({
        code: 'custom',
        path: [field, index, 'name'],
        message: `"${name}" is declared twice`,
      });
    }
    seen.add(name);
  }
}

function reportUnknownClasses(declared: DeclarationsObject, context: z.RefinementCtx): void {
  const known = new Set(declared.classes.map((each) => each.name));
  for (const [index, account] of declared.accounts.entries()) {
    for (const [position, name] of account.classes.entries()) {
      if (!known.has(name)) {
        context.addIssue({
          code: 'custom',
          path: ['accounts', index, 'classes', position],
          message: `no class named "${name}" is declared`,
        });
      }
    }
  }
}

function reportRepeatedKeys(declared: DeclarationsObject, context: z.RefinementCtx): void {
  const seen = new Set<string>();
  for (const [index, account] of declared.accounts.entries()) {
    for (const [position, key] of (account.keys ?? []).entries()) {
      if (seen.has(key.identifier)) {
        context.addIssue({
          code: 'custom',
          path: ['accounts', index, 'keys', position, 'identifier'],
          message: 'the key identifier is used twice',
        });
      }
      seen.add(key.identifier);
    }
  }
}

function reportRepeatedRoutes(declared: DeclarationsObject, context: z.RefinementCtx): void {
  const seen = new Set<string>();
  for (const [index, each] of declared.classes.entries()) {
    if (each.kind === WorkKind.Service) {
      if (seen.has(each.route)) {
        context.addIssue({
          code: 'custom',
          path: ['classes', index, 'route'],
          message: `route "${each.route}" belongs to two classes`,
        });
      }
      seen.add(each.route);
    }
  }
}

/** Schema of a whole declarations file. Unknown fields are errors. */
export const declarationsSchema = declarationsObject.superRefine((declared, context) => {
  reportRepeatedNames(declared.classes, 'classes', context);
  reportRepeatedNames(declared.accounts, 'accounts', context);
  reportRepeatedNames(declared.endpointKinds, 'endpointKinds', context);
  reportRepeatedRoutes(declared, context);
  reportUnknownClasses(declared, context);
  reportRepeatedKeys(declared, context);
});

/** The content of a declarations file. */
export type DeclarationsDocument = DeclarationsObject;

/** A client account and the key by which a caller was recognised. */
export interface Identity {
  readonly account: ClientAccount;
  readonly key: AccessKey;
}

/** An immutable snapshot of what operators declared, with look-ups. */
export class Declarations {
  readonly document: DeclarationsDocument;

  readonly classes: ReadonlyMap<string, ClassOfWork>;

  readonly accounts: ReadonlyMap<string, ClientAccount>;

  readonly endpointKinds: ReadonlyMap<string, EndpointKind>;

  private readonly classesByRoute: ReadonlyMap<string, ClassOfWork>;

  private readonly identitiesByKey: ReadonlyMap<string, Identity>;

  constructor(document: DeclarationsDocument) {
    this.document = document;
    this.classes = new Map(document.classes.map((each) => [each.name, new ClassOfWork(each)]));
    this.accounts = new Map(document.accounts.map((each) => [each.name, new ClientAccount(each)]));
    this.endpointKinds = new Map(document.endpointKinds.map((each) => [each.name, each]));
    this.classesByRoute = new Map(
      [...this.classes.values()].flatMap((each) =>
        each.route === undefined ? [] : [[each.route, each] as const],
      ),
    );
    this.identitiesByKey = new Map(
      [...this.accounts.values()].flatMap((account) =>
        account.keys.map((key) => [key.identifier, { account, key }] as const),
      ),
    );
  }

  classOfRoute(route: string): ClassOfWork | undefined {
    return this.classesByRoute.get(route);
  }

  /** All models of the classes that the account may use, without repeats. */
  modelsOf(account: ClientAccount): string[] {
    const classes = account.classNames.map((name) => this.classes.get(name));
    return [...new Set(classes.flatMap((each) => each?.models ?? []))];
  }

  /** Finds the account of a key text. Throws `unauthenticated` or `key-withdrawn`. */
  identify(keyText: string): Identity {
    const presented = parseKey(keyText);
    const identity = presented && this.identitiesByKey.get(presented.identifier);
    if (presented === undefined || identity?.key.verify(presented.secret) !== true) {
      throw new RelayError({ kind: FailureKind.Unauthenticated, reason: 'unknown access key' });
    }
    if (identity.key.isWithdrawn) {
      throw new RelayError({
        kind: FailureKind.KeyWithdrawn,
        keyIdentifier: identity.key.identifier,
      });
    }
    return identity;
  }

  /** Tells whether the key still opens calls for the account. */
  acceptsKey(keyIdentifier: string, accountName: string): boolean {
    const identity = this.identitiesByKey.get(keyIdentifier);
    return identity?.account.name === accountName && !identity.key.isWithdrawn;
  }
}
