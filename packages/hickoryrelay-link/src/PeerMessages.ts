/** The types of messages between entry instances. */
export const PeerMessageType = {
  Hello: 'hello',
  Heartbeat: 'heartbeat',
  Digest: 'digest',
  ConfigurationChanged: 'configuration-changed',
  ConfigurationRequest: 'configuration-request',
  ConfigurationBuckets: 'configuration-buckets',
  UsageOpen: 'usage-open',
  UsageProgress: 'usage-progress',
  UsageClose: 'usage-close',
  UsageAcknowledged: 'usage-acknowledged',
  UsageCollect: 'usage-collect',
  UsageStatement: 'usage-statement',
  Leaving: 'leaving',
} as const;

export type PeerMessageType = (typeof PeerMessageType)[keyof typeof PeerMessageType];

/**
 * Names one run of an instance. A restarted instance has a new incarnation, which sorts after the
 * old one as a string.
 */
export interface InstanceIdentity {
  readonly name: string;
  readonly zone: string;
  readonly incarnation: string;
}

/** What one instance tells about itself; passed on by gossip. */
export interface DigestRow {
  readonly identity: InstanceIdentity;
  /** Grows by one with each row of the incarnation. */
  readonly heartbeat: number;
  readonly state: 'live' | 'leaving';
  readonly revision: number;
  /** Time since the configuration was last confirmed current, in milliseconds. */
  readonly viewAgeMilliseconds: number;
  /** URL of the peer interface (`ws:`). */
  readonly peersUrl: string;
  /**
   * Cost since the incarnation started, of the accounts that used most lately: name and total.
   * Totals, so that a lost row loses no cost.
   */
  readonly costs: readonly (readonly [account: string, cost: number])[];
}

/**
 * A heartbeat counter passed on without the row. The tag is a 32-bit hash of the incarnation, since
 * a beat of 9 bytes allows one for each instance of a zone in every digest and a row does not.
 */
export type HeartbeatEntry = readonly [incarnationTag: number, heartbeat: number];

/** A usage record as its replicas hold it. Figures are totals so far, not differences. */
export interface UsageRecord {
  /** Instance incarnation and number, unique for the system. */
  readonly incarnation: string;
  readonly sequence: number;
  readonly instance: string;
  readonly zone: string;
  readonly requestIdentifier: string;
  readonly account: string;
  readonly className: string;
  /** The model, or the route of a plain service. */
  readonly subject: string;
  /** The endpoint that runs the call, to be asked when the instance dies. */
  readonly endpoint: string;
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly isClosed: boolean;
}

/** Figures of a running call; `[sequence, completion tokens so far]`. */
export type UsageProgressEntry = readonly [sequence: number, completionTokens: number];

/** A message between entry instances. */
export type PeerMessage =
  | {
      readonly type: 'hello';
      readonly identity: InstanceIdentity;
      readonly peersUrl: string;
      readonly revision: number;
    }
  | {
      readonly type: 'heartbeat';
      /** Grows by one with each heartbeat of the link. */
      readonly sequence: number;
      /** Last sequence received from the other end, 0 before the first. */
      readonly echo: number;
      readonly revision: number;
      /** Time since the sender's view was last confirmed; infinite if it never was. */
      readonly viewAgeMilliseconds: number;
    }
  | {
      readonly type: 'digest';
      readonly rows: readonly DigestRow[];
      readonly heartbeats: readonly HeartbeatEntry[];
    }
  | { readonly type: 'configuration-changed'; readonly revision: number }
  | {
      readonly type: 'configuration-request';
      /** Digests of the buckets that the sender has, so that only others are sent. */
      readonly digests: readonly string[];
    }
  | {
      readonly type: 'configuration-buckets';
      readonly revision: number;
      readonly digests: readonly string[];
      /** Index and text of the buckets that the receiver lacks. */
      readonly buckets: readonly (readonly [index: number, text: string])[];
    }
  | { readonly type: 'usage-open'; readonly records: readonly UsageRecord[] }
  | {
      readonly type: 'usage-progress';
      readonly incarnation: string;
      readonly entries: readonly UsageProgressEntry[];
    }
  | { readonly type: 'usage-close'; readonly records: readonly UsageRecord[] }
  | {
      readonly type: 'usage-acknowledged';
      readonly incarnation: string;
      readonly sequences: readonly number[];
    }
  | { readonly type: 'usage-collect'; readonly zone: string; readonly windowStart: number }
  | {
      readonly type: 'usage-statement';
      readonly zone: string;
      readonly windowStart: number;
      readonly records: readonly UsageRecord[];
    }
  | { readonly type: 'leaving'; readonly identity: InstanceIdentity };

/** A message with the peer that sent it. */
export interface ReceivedPeerMessage {
  readonly from: InstanceIdentity;
  readonly message: PeerMessage;
  /**
   * For a heartbeat: when this instance sent the heartbeat that it echoes, on the monotonic clock.
   * What the sender says about itself was true at that time or later.
   */
  readonly askedMilliseconds?: number;
}
