import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

/** Permits an admitted call to run until it is released. */
export interface AdmissionTicket {
  /** Records the arrival of the first chunk of the response. */
  recordFirstChunk(): void;
  /** Records the length of the response, so that the account is charged the actual cost. */
  settle(decodeTokens: number): void;
  /** Ends the permit. Calling it more than once has no effect. */
  release(): void;
}

/**
 * Decides when a call may run. An override resolves when the call may start, and rejects with
 * `overloaded` if the call is not admitted. A rejected call has not been sent to an endpoint.
 */
export abstract class AdmissionPolicy<TCall> {
  abstract admit(call: TCall, signal: AbortSignal): Promise<AdmissionTicket>;
}

const RETRY_AFTER_SECONDS = 1;

/** Admits calls immediately, up to a concurrency limit. */
export class ConcurrencyLimitAdmission extends AdmissionPolicy<unknown> {
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
        reason: `concurrency limit of ${this.limit} calls reached`,
        retryAfterSeconds: RETRY_AFTER_SECONDS,
      });
    }
    this.running += 1;
    let isHeld = true;
    return {
      recordFirstChunk: () => {},
      settle: () => {},
      release: () => {
        if (isHeld) {
          isHeld = false;
          this.running -= 1;
        }
      },
    };
  }
}
