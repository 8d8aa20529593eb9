import type { CallContext } from './CallContext.js';
import type { EndpointState } from './EndpointState.js';

/** The permission to make one attempt. */
export interface CapacityPermit {
  /**
   * Ends the permit. The endpoint is given if it has run the request, and so has a slot free again.
   * Called once.
   */
  end(endpoint: EndpointState | undefined): void;
}

/**
 * Decides, before an attempt is made, whether the request is sent, waits for room at the endpoints of
 * its service, or is refused.
 */
export abstract class CapacityAdmission {
  /** Admits a call at once. Returns undefined if it has to wait. */
  abstract tryAdmit(call: CallContext): CapacityPermit | undefined;

  /** Waits for room. Returns the reason if the call is refused, which has not been sent then. */
  abstract wait(call: CallContext): Promise<CapacityPermit | string>;

  /** Records that an endpoint took a request: its first event or whole response has arrived. */
  abstract recordAcceptance(call: CallContext): void;

  /** Records that an endpoint rejected a request, which was a wrong forecast. */
  abstract recordRejection(call: CallContext): void;

  /**
   * Requests per second of this instance that end at the endpoints of the call's service while all of
   * them are full; 0 if that is not known or one has room.
   */
  abstract shortageDrainPerSecond(call: CallContext): number;
}

const UNLIMITED_PERMIT: CapacityPermit = { end: () => {} };

/** Admits every call at once: the behaviour before there was admission, to compare with. */
export class UnlimitedAdmission extends CapacityAdmission {
  override tryAdmit(): CapacityPermit {
    return UNLIMITED_PERMIT;
  }

  override async wait(): Promise<CapacityPermit> {
    return UNLIMITED_PERMIT;
  }

  override recordAcceptance(): void {}

  override recordRejection(): void {}

  override shortageDrainPerSecond(): number {
    return 0;
  }
}
