import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import type { Call } from 'hickoryrelay-link/Call';

/** The right of an admitted call to run, until it is released. */
export interface AdmissionTicket {
  /** Records that the first piece of the answer has arrived. */
  firstPiece(): void;
  /** Records the length of the answer, so that the account is charged what the call cost. */
  settle(decodeTokens: number): void;
  /** Gives the right back. Calling it more than once has no effect. */
  release(): void;
}

/**
 * Decides when a call may run. An override resolves when the call may start and throws
 * `overloaded` if it never will; a call that was refused has not run.
 */
export abstract class AdmissionPolicy {
  abstract admit(call: Call, signal: AbortSignal): Promise<AdmissionTicket>;
}

const RETRY_AFTER_SECONDS = 1;

/** Admits every call at once, up to a limit of calls that run. */
export class ConcurrencyLimitAdmission extends AdmissionPolicy {
  private readonly limit: number;

  private running = 0;

  constructor(limit: number) {
    super();
    this.limit = limit;
  }

  override async admit(): Promise<AdmissionTicket> {
    if (this.running >= this.limit) {
      throw new RelayError({
        kind: FailureKind.Overloaded,
        reason: `${this.limit} calls are running`,
        retryAfterSeconds: RETRY_AFTER_SECONDS,
      });
    }
    this.running += 1;
    let isOpen = true;
    return {
      firstPiece: () => {},
      settle: () => {},
      release: () => {
        if (isOpen) {
          isOpen = false;
          this.running -= 1;
        }
      },
    };
  }
}
