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
 * Identifies one run of an instance. A restarted instance has a new incarnation, which sorts after
 * the old one as a string.
 */
export interface InstanceIdentity {
  readonly name: string;
  readonly zone: string;
  readonly incarnation: string;
}

/** Work of an instance's calls since its incarnation started, in milliseconds of engine time. */
export interface WorkTotals {
  readonly prefill: number;
  readonly decode: number;
  /** Totals of some classes of work, which rotate: a 16-bit hash of the name and the total. */
  readonly classes: readonly (readonly [classTag: number, total: number])[];
}

/** State that an instance publishes about itself, spread by gossip. */
export interface DigestRow {
  readonly identity: InstanceIdentity;
  /** Incremented with each row of the incarnation. */
  readonly heartbeat: number;
  readonly state: 'live' | 'leaving';
  readonly revision: number;
  /** Time since the configuration was last confirmed to be current; infinite if it never was. */
  readonly viewAgeMilliseconds: number;
  /** URL of the peer interface (`ws:`). */
  readonly peersUrl: string;
  /**
   * Total cost since the incarnation started, of the accounts with the highest recent usage. Totals
   * rather than increments, so that no cost is missed when a row is lost.
   */
  readonly costs: readonly (readonly [account: string, cost: number])[];
  readonly work: WorkTotals;
}

/**
 * A heartbeat counter without its row. The tag is a 32-bit hash of the incarnation. An entry of 9
 * bytes is small enough for every digest to hold one for each instance of a zone; a row is not.
 */
export type HeartbeatEntry = readonly [incarnationTag: number, heartbeat: number];

/** A request identifier, as a non-empty byte array if it is hexadecimal. */
export type WireIdentifier = string | Uint8Array;

/**
 * A usage record as sent to a peer that holds a copy. Names are indexes into the sender's name
 * table. Token counts are totals so far, not increments.
 */
export type UsageRecordEntry = readonly [
  sequence: number,
  requestIdentifier: WireIdentifier,
  account: number,
  className: number,
  /** The model, or the route of a plain service. */
  subject: number,
  /** The endpoint that runs the call, which is queried if the instance dies. */
  endpoint: number,
  promptTokens: number,
  completionTokens: number,
  /** Number of the window in which the call closed; 0 while it is running. */
  closedWindow: number,
];

/** Final token counts of a call whose record the receiver holds. */
export type UsageCloseEntry = readonly [
  sequence: number,
  promptTokens: number,
  completionTokens: number,
];

/** Completion tokens so far of a running call. */
export type UsageProgressEntry = readonly [sequence: number, completionTokens: number];

/** An entry of the sender's name table. */
export type UsageName = readonly [index: number, name: string];

/** Ascending numbers, run-length encoded as pairs: gap after the previous run, and run length. */
export type SequenceRuns = readonly number[];

/** The sequences of one incarnation that have been counted: all up to `upTo` except the gaps. */
export interface CountedMark {
  readonly upTo: number;
  readonly gaps: SequenceRuns;
}

/** A counted mark and the incarnation to which it applies. */
export type IncarnationMark = readonly [incarnation: string, mark: CountedMark];

/** Usage in one window, by names of account, class and subject. */
export type UsageLineEntry = readonly [
  account: string,
  className: string,
  subject: string,
  closedWindow: number,
  calls: number,
  promptTokens: number,
  completionTokens: number,
];

/** A closed record of a dead incarnation, reported by the peer that held its copy. */
export type AdoptedRecordEntry = readonly [
  sequence: number,
  account: string,
  className: string,
  subject: string,
  promptTokens: number,
  completionTokens: number,
  closedWindow: number,
  /** True if the instance itself closed the record, false if the token count is the engine's. */
  isOwnFigure: boolean,
];

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
      /** Incremented with each heartbeat on the link. */
      readonly sequence: number;
      /** Last sequence received from the other end; 0 before the first. */
      readonly echo: number;
      readonly revision: number;
      /** Hash of the content of the sender's configuration; equal revisions may differ in it. */
      readonly configurationTag: number;
      /** Time since the sender's configuration was last confirmed; infinite if it never was. */
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
      /** Digests of the buckets that the sender has, so that only the others are returned. */
      readonly digests: readonly string[];
    }
  | {
      readonly type: 'configuration-buckets';
      readonly revision: number;
      readonly digests: readonly string[];
      /** Index and text of the buckets that the receiver lacks. */
      readonly buckets: readonly (readonly [index: number, text: string])[];
    }
  | {
      readonly type: 'usage-open';
      /** Number of this message among those to the receiver that need an acknowledgement. */
      readonly number: number;
      /** Names used in the message that the receiver has not acknowledged. */
      readonly names: readonly UsageName[];
      readonly records: readonly UsageRecordEntry[];
    }
  | {
      readonly type: 'usage-progress';
      readonly entries: readonly UsageProgressEntry[];
      /** Records of the sender that are sealed, if that changed; the receiver drops its copies. */
      readonly counted?: CountedMark;
    }
  | {
      readonly type: 'usage-close';
      readonly number: number;
      /** Number of the window in which the calls closed. */
      readonly window: number;
      readonly entries: readonly UsageCloseEntry[];
    }
  | {
      readonly type: 'usage-acknowledged';
      /** Incarnation that sent the messages. */
      readonly incarnation: string;
      readonly numbers: readonly number[];
    }
  | {
      readonly type: 'usage-collect';
      readonly zone: string;
      /** Number of the window that is to be sealed. */
      readonly window: number;
      /** Identifies the collection; statements for other collections are ignored. */
      readonly round: string;
      /** Counted sequences of the receiver's incarnation and of those that it reported as dead. */
      readonly marks: readonly IncarnationMark[];
    }
  | {
      readonly type: 'usage-statement';
      readonly round: string;
      /** The sender's own closed records that the marks of the collection do not count. */
      readonly own?: {
        readonly sequences: SequenceRuns;
        readonly lines: readonly UsageLineEntry[];
      };
      /** Closed records of dead incarnations, by incarnation. */
      readonly adopted: readonly (readonly [string, readonly AdoptedRecordEntry[]])[];
    }
  | { readonly type: 'leaving'; readonly identity: InstanceIdentity };

/** A message and the peer that sent it. */
export interface ReceivedPeerMessage {
  readonly from: InstanceIdentity;
  readonly message: PeerMessage;
  /**
   * For a heartbeat: when this instance sent the heartbeat that it echoes, on the monotonic clock.
   * What the sender reports about itself held at that time or later.
   */
  readonly echoedHeartbeatSentMilliseconds?: number;
}
