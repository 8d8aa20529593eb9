import type { CallAttempts } from './CallAttempts.js';
import type { CallMetering } from './CallMetering.js';
import type { ExchangeParts } from './Exchange.js';
import type { ResponseWriter } from './ResponseWriter.js';
import type { Call } from 'hickoryrelay-link/Call';

/**
 * Relays the response of one call from the endpoints to the caller. An override closes the metering
 * before it writes the last chunk, and throws the failure to report to the caller.
 */
export abstract class ResponseRelay<RelayedCall extends Call = Call> {
  protected readonly call: RelayedCall;

  protected readonly parts: ExchangeParts;

  protected readonly attempts: CallAttempts;

  protected readonly metering: CallMetering;

  constructor(
    call: RelayedCall,
    parts: ExchangeParts,
    attempts: CallAttempts,
    metering: CallMetering,
  ) {
    this.call = call;
    this.parts = parts;
    this.attempts = attempts;
    this.metering = metering;
  }

  abstract relay(writer: ResponseWriter): Promise<void>;
}
