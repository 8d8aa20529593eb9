import { z } from 'zod';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { parseAccessKey } from './AccessKey.js';
import { ClassOfWork, classOfWorkSchema, WorkKind } from './ClassOfWork.js';
import { ClientAccount, clientAccountSchema } from './ClientAccount.js';
import { endpointKindSchema } from './EndpointKind.js';

import type { AccessKey } from './AccessKey.js';
import type { EndpointKind } from './EndpointKind.js';

const DEFAULT_STALE_KEY_SECONDS = 3600;

const budgetSchema = z.strictObject({
  /** Maximum spending on endpoints per hour, shared by all client accounts. */
  costPerHour: z.number().positive(),
});

const declarationsObjectSchema = z.strictObject({
  version: z.literal(1),
  budget: budgetSchema,
  /**
   * How long access keys are accepted after the configuration was last confirmed as current, in
   * seconds.
   */
  staleKeySeconds: z.number().int().positive().default(DEFAULT_STALE_KEY_SECONDS),
  classes: z.array(classOfWorkSchema).min(1),
  accounts: z.array(clientAccountSchema),
  endpointKinds: z.array(endpointKindSchema),
});

type DeclarationsObject = z.output<typeof declarationsObjectSchema>;

function reportDuplicateNames(
  declarations: readonly { name: string }[],
  field: string,
  context: z.RefinementCtx,
): void {
  const seen = new Set<string>();
  for (const [index, { name }] of declarations.entries()) {
    if (seen.has(name)) {
      context.addIssue({
        code: 'custom',
        path: [field, index, 'name'],
        message: `"${name}" is declared more than once`,
      });
    }
    seen.add(name);
  }
}

function reportUndeclaredClasses(declared: DeclarationsObject, context: z.RefinementCtx): void {
  const declaredNames = new Set(declared.classes.map((classOfWork) => classOfWork.name));
  for (const [index, account] of declared.accounts.entries()) {
    for (const [classIndex, name] of account.classes.entries()) {
      if (!declaredNames.has(name)) {
        context.addIssue({
          code: 'custom',
          path: ['accounts', index, 'classes', classIndex],
          message: `no class named "${name}" is declared`,
        });
      }
    }
  }
}

function reportDuplicateKeyIdentifiers(
  declared: DeclarationsObject,
  context: z.RefinementCtx,
): void {
  const seen = new Set<string>();
  for (const [index, account] of declared.accounts.entries()) {
    for (const [keyIndex, key] of (account.keys ?? []).entries()) {
      if (seen.has(key.identifier)) {
        context.addIssue({
          code: 'custom',
          path: ['accounts', index, 'keys', keyIndex, 'identifier'],
          message: 'the key identifier is used more than once',
        });
      }
      seen.add(key.identifier);
    }
  }
}

function reportDuplicateRoutes(declared: DeclarationsObject, context: z.RefinementCtx): void {
  const seen = new Set<string>();
  for (const [index, classOfWork] of declared.classes.entries()) {
    if (classOfWork.kind === WorkKind.Service) {
      if (seen.has(classOfWork.route)) {
        context.addIssue({
          code: 'custom',
          path: ['classes', index, 'route'],
          message: `route "${classOfWork.route}" is used by more than one class`,
        });
      }
      seen.add(classOfWork.route);
    }
  }
}

/** Schema of a declarations file. Unknown fields are errors. */
export const declarationsSchema = declarationsObjectSchema.superRefine((declared, context) => {
  reportDuplicateNames(declared.classes, 'classes', context);
  reportDuplicateNames(declared.accounts, 'accounts', context);
  reportDuplicateNames(declared.endpointKinds, 'endpointKinds', context);
  reportDuplicateRoutes(declared, context);
  reportUndeclaredClasses(declared, context);
  reportDuplicateKeyIdentifiers(declared, context);
});

/** The content of a declarations file. */
export type DeclarationsDocument = DeclarationsObject;

/** The client account and access key that authenticated a caller. */
export interface Identity {
  readonly account: ClientAccount;
  readonly key: AccessKey;
}

/** An immutable snapshot of the declared configuration, indexed for lookups. */
export class Declarations {
  readonly document: DeclarationsDocument;

  readonly classes: ReadonlyMap<string, ClassOfWork>;

  readonly accounts: ReadonlyMap<string, ClientAccount>;

  readonly endpointKinds: ReadonlyMap<string, EndpointKind>;

  private readonly classesByRoute: ReadonlyMap<string, ClassOfWork>;

  private readonly identitiesByKey: ReadonlyMap<string, Identity>;

  constructor(document: DeclarationsDocument) {
    this.document = document;
    this.classes = new Map(document.classes.map((entry) => [entry.name, new ClassOfWork(entry)]));
    this.accounts = new Map(
      document.accounts.map((entry) => [entry.name, new ClientAccount(entry)]),
    );
    this.endpointKinds = new Map(document.endpointKinds.map((kind) => [kind.name, kind]));
    this.classesByRoute = new Map(
      [...this.classes.values()].flatMap((classOfWork) =>
        classOfWork.route === undefined ? [] : [[classOfWork.route, classOfWork] as const],
      ),
    );
    this.identitiesByKey = new Map(
      [...this.accounts.values()].flatMap((account) =>
        account.keys.map((key) => [key.identifier, { account, key }] as const),
      ),
    );
  }

  findClassByRoute(route: string): ClassOfWork | undefined {
    return this.classesByRoute.get(route);
  }

  /** Lists the distinct models of the classes that the account may use. */
  listModels(account: ClientAccount): string[] {
    const classes = account.classNames.map((name) => this.classes.get(name));
    return [...new Set(classes.flatMap((classOfWork) => classOfWork?.models ?? []))];
  }

  /** Authenticates a caller by an access key. Throws `unauthenticated` or `key-withdrawn`. */
  authenticate(keyText: string): Identity {
    const presented = parseAccessKey(keyText);
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

  /** Returns whether the key belongs to the account and has not been withdrawn. */
  acceptsKey(keyIdentifier: string, accountName: string): boolean {
    const identity = this.identitiesByKey.get(keyIdentifier);
    return identity?.account.name === accountName && !identity.key.isWithdrawn;
  }
}
