/** Kinds of faults that tests inject, with the words under which they are printed. */
export const FaultKind = {
  /** A process ends without a farewell. */
  Kill: 'kills',
  /** A paused process holds up at least one timer or arrival. */
  Pause: 'pauses',
  ClockStep: 'steps of the wall clock',
  /** A lease runs out without being revoked. */
  LapsedLease: 'lapsed leases',
  RefusedRenewal: 'refused renewals',
  /** A request is refused or dropped without any effect. */
  Refusal: 'refused requests',
  /** A request meets a service that is out. */
  Outage: 'requests in an outage',
  /** A request takes effect and its answer never arrives. */
  LostAnswer: 'lost answers',
  /** A request takes effect after its sender has given up. */
  LateEffect: 'late effects',
  /** A request takes effect and the open connection stays silent. */
  SilentConnection: 'silent connections',
  DelayedRequest: 'delayed requests',
  /** Changes that an open watch does not pass on. */
  SilentWatch: 'changes lost by silent watches',
  DelayedWatch: 'delayed changes of watches',
  /** An open link ends because its path is cut. */
  CutLink: 'cut links',
  RefusedConnection: 'refused connections',
  /** A message is lost because the path is cut. */
  CutMessage: 'messages lost at cuts',
  LostMessage: 'lost messages',
  RepeatedMessage: 'repeated messages',
  DelayedMessage: 'delayed messages',
  /** An operator is told that another one was faster. */
  LostRace: 'lost races of operators',
  AuthorityChange: 'changes of authority',
  /** The platform takes an endpoint back. */
  Reclaim: 'reclaimed endpoints',
  EngineCrash: 'engine crashes',
  EarlyClose: 'early closes',
  /** An engine sends nothing more in the middle of an answer. */
  SilentEngine: 'silent engines',
  ForeignPiece: 'foreign pieces',
  RepeatedPiece: 'repeated pieces',
  MissingPiece: 'missing pieces',
  /** A caller goes away before its answer is complete. */
  CallerGone: 'callers gone',
} as const;

export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** Counts injected faults by kind. Stand-ins count a fault where it takes effect. */
export class FaultTally {
  private readonly counts = new Map<FaultKind, number>();

  count(kind: FaultKind): void {
    this.counts.set(kind, this.countOf(kind) + 1);
  }

  countOf(kind: FaultKind): number {
    return this.counts.get(kind) ?? 0;
  }

  /** One line with the counts of all kinds that are named or occurred, and those that did not. */
  describe(test: string, named: readonly FaultKind[]): string {
    const kinds = [...new Set([...named, ...this.counts.keys()])];
    const counts = kinds.map((kind) => `${kind} ${this.countOf(kind)}`).join(', ');
    const missing = kinds.filter((kind) => this.countOf(kind) === 0);
    const remark = missing.length === 0 ? '' : `; NEVER INJECTED: ${missing.join(', ')}`;
    return `${test} faults: ${counts}${remark}\n`;
  }
}
