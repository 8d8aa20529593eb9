/** Kinds of faults that tests inject, with the labels under which they are printed. */
export const FaultKind = {
  /** A process ends without announcing that it leaves. */
  Kill: 'kills',
  /** A paused process delays at least one timer or incoming message. */
  Pause: 'pauses',
  ClockStep: 'wall clock steps',
  /** A lease expires without being revoked. */
  ExpiredLease: 'expired leases',
  RefusedRenewal: 'refused renewals',
  /** A request is refused or dropped and has no effect. */
  Refusal: 'refused requests',
  /** A request is sent while the service is unavailable. */
  Outage: 'requests during an outage',
  /** A request takes effect but its response is lost. */
  LostResponse: 'lost responses',
  /** A request takes effect after its sender has timed out. */
  LateEffect: 'late effects',
  /** A request takes effect but nothing is sent on the open connection. */
  SilentConnection: 'silent connections',
  DelayedRequest: 'delayed requests',
  /** An open watch does not deliver a change. */
  SilentWatch: 'changes lost by silent watches',
  DelayedWatch: 'delayed watch changes',
  /** An open connection is closed because its network path is cut. */
  CutLink: 'cut links',
  RefusedConnection: 'refused connections',
  /** A message is lost because the network path is cut. */
  CutMessage: 'messages lost on cut paths',
  LostMessage: 'lost messages',
  RepeatedMessage: 'repeated messages',
  DelayedMessage: 'delayed messages',
  /** An operator's update is refused because another update was committed first. */
  RevisionConflict: 'revision conflicts',
  AuthorityChange: 'authority changes',
  /** The platform reclaims an endpoint. */
  Reclaim: 'reclaimed endpoints',
  EngineCrash: 'engine crashes',
  EarlyClose: 'early closes',
  /** An engine stops sending in the middle of a response. */
  StalledEngine: 'stalled engines',
  ForeignChunk: 'chunks of other requests',
  RepeatedChunk: 'repeated chunks',
  MissingChunk: 'missing chunks',
  /** A caller disconnects before its response is complete. */
  CallerDisconnect: 'caller disconnects',
} as const;

export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** Counts injected faults by kind. A stand-in counts a fault only when it takes effect. */
export class FaultTally {
  private readonly counts = new Map<FaultKind, number>();

  count(kind: FaultKind): void {
    this.counts.set(kind, this.countOf(kind) + 1);
  }

  countOf(kind: FaultKind): number {
    return this.counts.get(kind) ?? 0;
  }

  /**
   * Formats one line with the counts of all kinds that are named or occurred, and lists the named
   * kinds that were never injected.
   */
  describe(test: string, named: readonly FaultKind[]): string {
    const kinds = [...new Set([...named, ...this.counts.keys()])];
    const counts = kinds.map((kind) => `${kind} ${this.countOf(kind)}`).join(', ');
    const missing = kinds.filter((kind) => this.countOf(kind) === 0);
    const remark = missing.length === 0 ? '' : `; NEVER INJECTED: ${missing.join(', ')}`;
    return `${test} faults: ${counts}${remark}\n`;
  }
}
