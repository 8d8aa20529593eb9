import type { AnswerWriter } from './AnswerWriter.js';
import type { CallAttempts } from './CallAttempts.js';
import type { CallMetering } from './CallMetering.js';
import type { ExchangeParts } from './Exchange.js';
import type { Call } from 'hickoryrelay-link/Call';

/**
 * Brings the answer of one call from endpoints to the caller. An override closes the meter before
 * it passes on the last piece, and throws the failure that the caller is to be told.
 */
export abstract class AnswerRelay<Answered extends Call = Call> {
  protected readonly call: Answered;

  protected readonly parts: ExchangeParts;

  protected readonly attempts: CallAttempts;

  protected readonly metering: CallMetering;

  constructor(
    call: Answered,
    parts: ExchangeParts,
    attempts: CallAttempts,
    metering: CallMetering,
  ) {
    this.call = call;
    this.parts = parts;
    this.attempts = attempts;
    this.metering = metering;
  }

  abstract relay(writer: AnswerWriter): Promise<void>;
}
