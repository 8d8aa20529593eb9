/**
 * First element of a message that is sent as a list. A list has no field names, so a change of
 * layout needs a new number, and a receiver rejects unknown numbers.
 */
export const MessageLayout = {
  UsageOpen: 1,
  UsageProgress: 2,
  UsageClose: 3,
  UsageAcknowledged: 4,
  /** Acknowledges messages of another incarnation than the receiver's. */
  UsageAcknowledgedOther: 5,
  Heartbeat: 6,
  Digest: 7,
} as const;

export type MessageLayout = (typeof MessageLayout)[keyof typeof MessageLayout];
