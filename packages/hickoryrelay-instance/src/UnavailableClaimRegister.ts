import { ClaimRegister } from 'hickoryrelay-usage/ClaimRegister';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import type { ClaimOutcome } from 'hickoryrelay-usage/ClaimRegister';

/** Makes no claims, so that calls which need one are refused as not run. */
export class UnavailableClaimRegister extends ClaimRegister {
  override async claim(): Promise<ClaimOutcome> {
    throw new RelayError({
      kind: FailureKind.PlatformUnavailable,
      service: 'claim register',
      reason: 'no claim register is configured',
      mayHaveTakenEffect: false,
    });
  }

  override async store(): Promise<void> {
    // There are no claims to store an answer with.
  }

  override async abandon(): Promise<void> {
    // There are no claims to give back.
  }
}
