import { FrontEnd } from './FrontEnd.js';
import { readBody } from './RequestReader.js';
import type { ConfigurationView } from './ConfigurationView.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { Settings } from 'hickoryrelay-contract/Settings';
import type { IncomingMessage } from 'node:http';

const MILLISECONDS_PER_SECOND = 1000;

/** Base of the HTTP front ends. Applies the configured body size, body time and call time limits. */
export abstract class HttpFrontEnd extends FrontEnd<IncomingMessage> {
  protected readonly view: ConfigurationView;

  private readonly limits: Settings['limits'];

  private readonly clock: Clock;

  constructor(view: ConfigurationView, limits: Settings['limits'], clock: Clock) {
    super();
    this.view = view;
    this.limits = limits;
    this.clock = clock;
  }

  /** Reads the whole body. Throws `request-too-large` or `request-timeout` if a limit is exceeded. */
  protected readBody(request: IncomingMessage): Promise<Buffer> {
    const { bodyBytes, requestSeconds } = this.limits;
    const bodyTimeoutMilliseconds = requestSeconds * MILLISECONDS_PER_SECOND;
    return readBody(request, { bodyBytes, bodyTimeoutMilliseconds }, this.clock);
  }

  /** Returns the time by which a call with this arrival time must be complete. */
  protected deadlineOf(arrivalMilliseconds: number): number {
    return arrivalMilliseconds + this.limits.callSeconds * MILLISECONDS_PER_SECOND;
  }
}
