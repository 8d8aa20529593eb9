/**
 * First element of a message that is sent as a list. A list has no field names, so a change of its
 * form takes a new number, and a receiver refuses numbers that it does not know.
 */
export const MessageLayout = {
  UsageOpen: 1,
  UsageProgress: 2,
  UsageClose: 3,
  UsageAcknowledged: 4,
  /** An acknowledgement of messages of another incarnation than the one at the end of the link. */
  UsageAcknowledgedOther: 5,
  Heartbeat: 6,
  Digest: 7,
} as const;

export type MessageLayout = (typeof MessageLayout)[keyof typeof MessageLayout];
