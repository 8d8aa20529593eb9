import { request } from 'undici';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { decodeLoadReport } from 'hickoryrelay-endpoint/EngineLoad';

import type { Clock } from 'hickoryrelay/Clock';
import type { EndpointPlace } from 'hickoryrelay-endpoint/Endpoint';
import type { LoadReport } from 'hickoryrelay-endpoint/EngineLoad';

const TIMEOUT_MILLISECONDS = 1000;

/** Reads the load reports of one engine. */
export class EngineStatusLink {
  private readonly place: EndpointPlace;

  private readonly clock: Clock;

  constructor(place: EndpointPlace, clock: Clock) {
    this.place = place;
    this.clock = clock;
  }

  /** Returns undefined if the engine does not offer load reports. */
  async readLoad(signal: AbortSignal): Promise<LoadReport | undefined> {
    try {
      const asked = this.clock.monotonicMilliseconds();
      const response = await request(`${this.place.url}/load`, {
        headersTimeout: TIMEOUT_MILLISECONDS,
        bodyTimeout: TIMEOUT_MILLISECONDS,
        // A signal of its own for each request: the client leaves its listeners behind.
        signal: AbortSignal.any([signal]),
      });
      const body: unknown = await response.body.json();
      return response.statusCode === 200 ? decodeLoadReport(body, asked) : undefined;
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      throw new RelayError(
        {
          kind: FailureKind.EndpointFailed,
          endpoint: this.place.identifier,
          reason,
          mayHaveRun: false,
        },
        error,
      );
    }
  }
}
