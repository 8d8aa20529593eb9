import { isPeerAddress } from './PeerRecord.js';
import { isAccountCounts } from './UsageTally.js';

import type { PeerAddress } from './PeerRecord.js';
import type { AccountCounts } from './UsageTally.js';

/** Kind of the message, the first element of its encoding. Differs from those in `PeerMessageKind`. */
export const USAGE_SEAL_KIND = 11;

/** Keeps a datagram below 64 KB. Seals with more client accounts are only in the store. */
const MAXIMUM_ACCOUNTS = 2000;

/** The sealed counts of a window, or a request for them. */
export interface UsageSealMessage {
  readonly kind: typeof USAGE_SEAL_KIND;
  /** Where to send the sealed counts; undefined if none are requested. */
  readonly replyTo: PeerAddress | undefined;
  readonly window: number;
  /** Undefined in a request. */
  readonly counts: AccountCounts | undefined;
}

/** True if the counts fit into one datagram. */
export function fitsUsageSealMessage(counts: AccountCounts): boolean {
  return Object.keys(counts).length <= MAXIMUM_ACCOUNTS;
}

/** Returns the elements of the encoding. */
export function usageSealElements(message: UsageSealMessage): unknown[] {
  const { kind, replyTo, window, counts } = message;
  return [kind, replyTo === undefined ? [] : [replyTo.host, replyTo.port], window, counts ?? null];
}

/** Decodes the elements after the kind. Returns undefined if they are malformed. */
export function decodeUsageSeal(fields: readonly unknown[]): UsageSealMessage | undefined {
  const [address, window, counts] = fields;
  if (!Array.isArray(address) || !Number.isSafeInteger(window)) {
    return undefined;
  }
  const [host, port] = address as unknown[];
  const replyTo = { host, port };
  const isRequest = counts === null && isPeerAddress(replyTo);
  const isSeal = address.length === 0 && isAccountCounts(counts);
  if (!isRequest && !isSeal) {
    return undefined;
  }
  return {
    kind: USAGE_SEAL_KIND,
    replyTo: isRequest ? replyTo : undefined,
    window: window as number,
    counts: isSeal ? counts : undefined,
  };
}
