import type { AnswerWriter } from './AnswerWriter.js';

/**
 * Brings the answer of one call from endpoints to the caller. An override closes the meter before
 * it passes on the last piece, and throws the failure that the caller is to be told.
 */
export abstract class AnswerRelay {
  abstract relay(writer: AnswerWriter): Promise<void>;
}
