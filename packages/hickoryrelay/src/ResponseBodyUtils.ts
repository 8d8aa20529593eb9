import { FailureKind } from './Failure.js';
import { RelayError } from './RelayError.js';

/**
 * Reads a response body into memory as UTF-8 text. A peer in trouble may send bytes until it is
 * closed, so every response that is read whole has a limit. Throws `protocol-violation` if the body
 * exceeds `limitBytes`; the iterator of the body is then closed, which closes its connection.
 */
export async function readBodyText(
  body: AsyncIterable<Uint8Array>,
  limitBytes: number,
  peer: string,
): Promise<string> {
  const chunks: Uint8Array[] = [];
  let length = 0;
  for await (const chunk of body) {
    length += chunk.length;
    if (length > limitBytes) {
      throw new RelayError({
        kind: FailureKind.ProtocolViolation,
        peer,
        reason: `the response exceeds ${limitBytes} bytes`,
      });
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks, length).toString('utf8');
}
