import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import type { ConfigurationView } from './ConfigurationView.js';
import type { ClassOfWork } from 'hickoryrelay-contract/ClassOfWork';
import type { ClientAccount } from 'hickoryrelay-contract/ClientAccount';
import type { Identity } from 'hickoryrelay-contract/Declarations';

/**
 * Resolves an access key to its account and key. Throws `unauthenticated` if no key was sent, and
 * `stale-view` if the view has not been confirmed within `staleKeySeconds`: the key could have been
 * withdrawn since.
 */
export function authenticateCaller(view: ConfigurationView, keyText: string | undefined): Identity {
  if (keyText === undefined) {
    throw new RelayError({ kind: FailureKind.Unauthenticated, reason: 'no access key was sent' });
  }
  const { declarations } = view;
  const limitSeconds = declarations.document.staleKeySeconds;
  const ageSeconds = Math.floor(view.ageMilliseconds / 1000);
  if (ageSeconds > limitSeconds) {
    throw new RelayError({ kind: FailureKind.StaleView, ageSeconds, limitSeconds });
  }
  return declarations.authenticate(keyText);
}

/** Throws `not-permitted` unless the account may use the class of work. */
export function assertAuthorized(account: ClientAccount, classOfWork: ClassOfWork): void {
  if (!account.mayUse(classOfWork.name)) {
    throw new RelayError({
      kind: FailureKind.NotPermitted,
      account: account.name,
      className: classOfWork.name,
    });
  }
}
