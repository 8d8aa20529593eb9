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

/** Work of the calls at one instance since its incarnation started, in milliseconds of engine time. */
export interface WorkTotals {
  readonly prefill: number;
  readonly decode: number;
  /** Totals of some classes of work, in turn: a 16-bit hash of the name and the total. */
  readonly classes: readonly (readonly [classTag: number, total: number])[];
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
  readonly work: WorkTotals;
}

/**
 * A heartbeat counter passed on without the row. The tag is a 32-bit hash of the incarnation, since
 * a beat of 9 bytes allows one for each instance of a zone in every digest and a row does not.
 */
export type HeartbeatEntry = readonly [incarnationTag: number, heartbeat: number];

/** A request identifier; as bytes, at least one, if it is hexadecimal. */
export type WireIdentifier = string | Uint8Array;

/**
 * A usage record as it is sent to a peer that holds it. Names are indexes into the sender's name
 * table. Figures are totals so far, not differences.
 */
export type UsageRecordEntry = readonly [
  sequence: number,
  requestIdentifier: WireIdentifier,
  account: number,
  className: number,
  /** The model, or the route of a plain service. */
  subject: number,
  /** The endpoint that runs the call, to be asked when the instance dies. */
  endpoint: number,
  promptTokens: number,
  completionTokens: number,
  /** Number of the window in which the call closed; 0 while it runs. */
  closedWindow: number,
];

/** Final figures of a call whose record the receiver holds. */
export type UsageCloseEntry = readonly [
  sequence: number,
  promptTokens: number,
  completionTokens: number,
];

/** Figures of a running call; `[sequence, completion tokens so far]`. */
export type UsageProgressEntry = readonly [sequence: number, completionTokens: number];

/** Entry of a name table. */
export type UsageName = readonly [index: number, name: string];

/** Ascending numbers as pairs: distance from the end of the previous run, and length of the run. */
export type SequenceRuns = readonly number[];

/** The sequences of one incarnation that are counted: all up to `upTo` but the gaps. */
export interface CountedMark {
  readonly upTo: number;
  readonly gaps: SequenceRuns;
}

/** A counted mark with the incarnation that it is about. */
export type IncarnationMark = readonly [incarnation: string, mark: CountedMark];

/** Use in one window, by names: account, class, subject, window, calls and tokens. */
export type UsageLineEntry = readonly [
  account: string,
  className: string,
  subject: string,
  closedWindow: number,
  calls: number,
  promptTokens: number,
  completionTokens: number,
];

/** A closed record of a dead incarnation, by the peer that held it. */
export type AdoptedRecordEntry = readonly [
  sequence: number,
  account: string,
  className: string,
  subject: string,
  promptTokens: number,
  completionTokens: number,
  closedWindow: number,
  /** True if the instance itself closed the record, false if the figure is the engine's. */
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
  | {
      readonly type: 'usage-open';
      /** Number of this message among those with an acknowledgement to the receiver. */
      readonly number: number;
      /** Names used in the message that the receiver has not acknowledged. */
      readonly names: readonly UsageName[];
      readonly records: readonly UsageRecordEntry[];
    }
  | {
      readonly type: 'usage-progress';
      readonly entries: readonly UsageProgressEntry[];
      /** What of the sender's records is sealed, if that changed; the receiver drops it. */
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
      /** Number of the window to be sealed. */
      readonly window: number;
      /** Identifies the collection; a statement of another one is ignored. */
      readonly round: string;
      /** What is counted of the receiver's incarnation and of those that it reported as dead. */
      readonly marks: readonly IncarnationMark[];
    }
  | {
      readonly type: 'usage-statement';
      readonly round: string;
      /** The sender's own closed records that the mark of the collection does not count. */
      readonly own?: {
        readonly sequences: SequenceRuns;
        readonly lines: readonly UsageLineEntry[];
      };
      /** Closed records of dead incarnations, by incarnation. */
      readonly adopted: readonly (readonly [string, readonly AdoptedRecordEntry[]])[];
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
