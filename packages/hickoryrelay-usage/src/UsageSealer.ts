import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';
import { UsageMerge } from './UsageMerge.js';
import { countedKey, EMPTY_COUNTED_STATE, reportedKey, sealKey } from './UsageSeal.js';
import { windowAt } from './UsageWindow.js';

import type { Authority } from './Authority.js';
import type { InstanceLiveness } from './InstanceLiveness.js';
import type { UsageStatement } from './UsageMerge.js';
import type { CountedState, SealedMark, UsageSeal } from './UsageSeal.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type {
  CountedMark,
  IncarnationMark,
  InstanceIdentity,
  PeerMessage,
} from 'hickoryrelay-link/PeerMessages';
import type { PeerNetwork } from 'hickoryrelay-link/PeerNetwork';
import type { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';

/** Delay from the end of a window to its seal, for records that are still in transit. */
export const SEAL_GRACE_MILLISECONDS = 5000;

/** Time for which a collection waits for statements. */
const COLLECTION_TIMEOUT_MILLISECONDS = 3000;
const COLLECTION_POLL_INTERVAL_MILLISECONDS = 100;

/** The key-value service accepts values of up to 1 MB; a seal and the marks are two values. */
const MAX_VALUE_BYTES = 700_000;

/** Marks of dead incarnations are kept for a day, so that late records are not counted again. */
const MARK_RETENTION_WINDOWS = 1440;

const COLLECTION_IDENTIFIER_BYTES = 6;

/** Provides the statement of this instance for a collection, by a peer or by its own sealer. */
export abstract class StatementSource {
  /** Drops counted records and returns those that closed up to the window. */
  abstract state(
    zone: string,
    window: number,
    marks: readonly IncarnationMark[],
  ): Pick<UsageStatement, 'own' | 'adopted'>;
}

/** Dependencies of a usage sealer. */
export interface UsageSealerParts {
  readonly authority: Authority;
  readonly network: PeerNetwork;
  readonly store: KeyValueStore;
  readonly liveness: InstanceLiveness;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: ComponentLogger;
}

interface Collection {
  readonly round: string;
  readonly pendingIncarnations: Set<string>;
  readonly statements: Map<string, UsageStatement>;
}

/** An encoded seal, and the encoded state of the zone after it. */
interface PreparedSeal {
  readonly encodedSeal: string;
  readonly encodedState: string;
}

/** Seals the usage windows of a zone while this instance holds the authority over it. */
export class UsageSealer {
  private readonly parts: UsageSealerParts;

  private readonly source: StatementSource;

  private collection: Collection | undefined;

  /** Dead incarnations stated by each peer. Their marks are sent to it with the next collection. */
  private readonly deadIncarnationsByPeer = new Map<string, readonly string[]>();

  private lastSealedWindow = 0;

  constructor(parts: UsageSealerParts, source: StatementSource) {
    this.parts = parts;
    this.source = source;
  }

  /** The newest window that this instance knows to be sealed. */
  get sealedWindow(): number {
    return this.lastSealedWindow;
  }

  /** The newest window that ended at least the grace period ago. */
  get dueWindow(): number {
    return windowAt(this.parts.clock.wallMilliseconds() - SEAL_GRACE_MILLISECONDS) - 1;
  }

  get isDue(): boolean {
    return this.parts.authority.isHeld && this.dueWindow > this.lastSealedWindow;
  }

  /**
   * Seals the due window unless it is sealed already. Missed windows get no seal; their records
   * become corrections in this one. Throws if the platform does not respond; the next attempt reads
   * which writes took effect.
   */
  async seal(signal: AbortSignal): Promise<void> {
    const { authority, store } = this.parts;
    const window = this.dueWindow;
    const { zone } = authority;
    const stored = await store.get(countedKey(zone));
    const state =
      stored === undefined ? EMPTY_COUNTED_STATE : (JSON.parse(stored.value) as CountedState);
    if (state.sealed < window) {
      const reportedWindow = Number((await store.get(reportedKey(zone)))?.value ?? 0);
      const statements = await this.collect(window, state, signal);
      authority.assertHeld();
      const prepared = this.prepareSeal(window, state, reportedWindow, statements);
      const result = await store.commit({
        compare: [
          authority.comparison(),
          { key: sealKey(zone, window), target: 'create-revision', operand: StoreRevision.None },
          {
            key: countedKey(zone),
            target: 'mod-revision',
            operand: stored?.modRevision ?? StoreRevision.None,
          },
        ],
        success: [
          { type: 'put', key: sealKey(zone, window), value: prepared.encodedSeal },
          { type: 'put', key: countedKey(zone), value: prepared.encodedState },
        ],
        failure: [],
      });
      if (!result.succeeded) {
        this.parts.log.warn('Another instance has sealed a usage window.', { window });
        return;
      }
    }
    this.lastSealedWindow = Math.max(window, state.sealed);
  }

  /** Adds the statement of a peer if it belongs to the collection in progress. */
  receiveStatement(
    from: InstanceIdentity,
    message: Extract<PeerMessage, { type: 'usage-statement' }>,
  ): void {
    if (this.collection?.round !== message.round) {
      return;
    }
    const { incarnation } = from;
    const { own, adopted } = message;
    this.collection.pendingIncarnations.delete(incarnation);
    this.collection.statements.set(incarnation, { incarnation, own, adopted });
    this.deadIncarnationsByPeer.set(
      incarnation,
      adopted.map(([dead]) => dead),
    );
  }

  private async collect(
    window: number,
    state: CountedState,
    signal: AbortSignal,
  ): Promise<readonly UsageStatement[]> {
    const { authority, network, clock, random } = this.parts;
    const { zone } = authority;
    const marks = new Map(state.marks.map(([incarnation, mark]) => [incarnation, mark]));
    const round = random.identifier(COLLECTION_IDENTIFIER_BYTES);
    const collection = { round, pendingIncarnations: new Set<string>(), statements: new Map() };
    this.collection = collection;
    for (const { name, incarnation } of network.connectedPeers()) {
      collection.pendingIncarnations.add(incarnation);
      const peerMarks = this.marksFor(incarnation, marks);
      network.send(name, { type: 'usage-collect', zone, window, round, marks: peerMarks });
    }
    const { incarnation } = network.identity;
    const local = this.source.state(zone, window, this.marksFor(incarnation, marks));
    this.deadIncarnationsByPeer.set(
      incarnation,
      local.adopted.map(([dead]) => dead),
    );
    collection.statements.set(incarnation, { incarnation, ...local });
    const deadline = clock.monotonicMilliseconds() + COLLECTION_TIMEOUT_MILLISECONDS;
    while (collection.pendingIncarnations.size > 0 && clock.monotonicMilliseconds() < deadline) {
      await clock.sleep(COLLECTION_POLL_INTERVAL_MILLISECONDS, signal);
    }
    this.collection = undefined;
    return [...collection.statements.values()];
  }

  private marksFor(
    incarnation: string,
    marks: ReadonlyMap<string, CountedMark>,
  ): readonly IncarnationMark[] {
    return [incarnation, ...(this.deadIncarnationsByPeer.get(incarnation) ?? [])]
      .map((each) => [each, marks.get(each)] as const)
      .filter((entry): entry is IncarnationMark => entry[1] !== undefined);
  }

  /** Encodes the seal, with fewer statements if it is too large; later seals include the others. */
  private prepareSeal(
    window: number,
    state: CountedState,
    reportedWindow: number,
    statements: readonly UsageStatement[],
  ): PreparedSeal {
    const merge = new UsageMerge(state.marks, window);
    merge.addAll(statements);
    const seal: UsageSeal = {
      window,
      fencingNumber: this.parts.authority.fencingNumber,
      lines: merge.lines,
    };
    const next: CountedState = {
      sealed: window,
      unreported: [...state.unreported.filter((each) => each > reportedWindow), window],
      marks: merge.sealedMarks.filter((mark) => this.isRetained(mark, window)),
    };
    const prepared = { encodedSeal: JSON.stringify(seal), encodedState: JSON.stringify(next) };
    const isTooLarge =
      Math.max(Buffer.byteLength(prepared.encodedSeal), Buffer.byteLength(prepared.encodedState)) >
      MAX_VALUE_BYTES;
    if (!isTooLarge || statements.length === 0) {
      return prepared;
    }
    // Starts at a different statement in each window, so that none is left out repeatedly.
    const start = window % statements.length;
    const rotated = [...statements.slice(start), ...statements.slice(0, start)];
    const subset = rotated.slice(0, Math.floor(statements.length / 2));
    return this.prepareSeal(window, state, reportedWindow, subset);
  }

  private isRetained([incarnation, , changedWindow]: SealedMark, window: number): boolean {
    const isRecent = window - changedWindow < MARK_RETENTION_WINDOWS;
    return isRecent || !this.parts.liveness.isDead(incarnation);
  }
}
