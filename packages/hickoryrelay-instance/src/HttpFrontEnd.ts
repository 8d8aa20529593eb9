import { invariant } from 'hickoryrelay/Invariant';
import { largestBodyBytes } from 'hickoryrelay-caller/CallerLimits';

import { FrontEnd } from './FrontEnd.js';

import type { ConfigurationView } from './ConfigurationView.js';
import type { CallerGuard } from 'hickoryrelay-caller/CallerGuard';
import type { Settings } from 'hickoryrelay-contract/Settings';
import type { IncomingMessage } from 'node:http';

const MILLISECONDS_PER_SECOND = 1000;

/** Base of the HTTP front ends. Applies the configured body size, body time and call time limits. */
export abstract class HttpFrontEnd extends FrontEnd<IncomingMessage> {
  protected readonly view: ConfigurationView;

  private readonly limits: Settings['limits'];

  /** Owns what is held for callers. Undefined until the server has been created. */
  private readonly guard: () => CallerGuard | undefined;

  constructor(
    view: ConfigurationView,
    limits: Settings['limits'],
    guard: () => CallerGuard | undefined,
  ) {
    super();
    this.view = view;
    this.limits = limits;
    this.guard = guard;
  }

  /**
   * Reads the whole body. Throws `request-too-large` or `request-timeout` if a limit is exceeded, and
   * `overloaded` if too much is held for callers.
   */
  protected readBody(request: IncomingMessage): Promise<Buffer> {
    const guard = this.guard();
    const callerRequest = guard?.find(request);
    invariant(guard !== undefined && callerRequest !== undefined, 'the request was not recorded');
    const { bodyBytes } = this.limits;
    return callerRequest.read(Math.min(bodyBytes, largestBodyBytes(guard.limits)));
  }

  /** Returns the time by which a call with this arrival time must be complete. */
  protected deadlineOf(arrivalMilliseconds: number): number {
    return arrivalMilliseconds + this.limits.callSeconds * MILLISECONDS_PER_SECOND;
  }
}
