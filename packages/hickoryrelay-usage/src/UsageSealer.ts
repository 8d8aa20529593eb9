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

/** Time after the end of a window for records on their way, before it is sealed. */
export const SEAL_GRACE_MILLISECONDS = 5000;

/** Longest wait for the statements of a collection. */
const COLLECT_WAIT_MILLISECONDS = 3000;
const COLLECT_CHECK_MILLISECONDS = 100;

/** The key-value service takes values up to a megabyte; a seal and the marks are two values. */
const LARGEST_VALUE_BYTES = 700_000;

/** Marks of dead incarnations stay for a day, so that a record that comes late is known. */
const MARK_RETENTION_WINDOWS = 1440;

const ROUND_BYTES = 6;

/** How this instance answers a collection, the sealer's own included. */
export abstract class StatementSource {
  /** Drops what is counted and states what closed up to the window. */
  abstract state(
    zone: string,
    window: number,
    marks: readonly IncarnationMark[],
  ): Pick<UsageStatement, 'own' | 'adopted'>;
}

/** What a sealer works with. */
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
  readonly awaited: Set<string>;
  readonly statements: Map<string, UsageStatement>;
}

/** A prepared seal, and the state of the zone after it. */
interface PreparedSeal {
  readonly sealText: string;
  readonly stateText: string;
}

/** Seals the usage windows of a zone while this instance holds the authority over it. */
export class UsageSealer {
  private readonly parts: UsageSealerParts;

  private readonly source: StatementSource;

  private collection: Collection | undefined;

  /** Dead incarnations that each peer reported, to tell it what of them is counted. */
  private readonly reportedDead = new Map<string, readonly string[]>();

  private knownSealed = 0;

  constructor(parts: UsageSealerParts, source: StatementSource) {
    this.parts = parts;
    this.source = source;
  }

  /** The newest window that this instance knows to be sealed. */
  get sealedWindow(): number {
    return this.knownSealed;
  }

  /** The newest window that has ended, with time for records on their way. */
  get dueWindow(): number {
    return windowAt(this.parts.clock.wallMilliseconds() - SEAL_GRACE_MILLISECONDS) - 1;
  }

  get isDue(): boolean {
    return this.parts.authority.isHeld && this.dueWindow > this.knownSealed;
  }

  /**
   * Seals the newest window that has ended, unless it is sealed. Windows that were missed get no
   * seal; their records are corrections in this one. Throws if the platform does not answer; the
   * next attempt reads what took effect.
   */
  async seal(signal: AbortSignal): Promise<void> {
    const { authority, store } = this.parts;
    const window = this.dueWindow;
    const { zone } = authority;
    const stored = await store.get(countedKey(zone));
    const state =
      stored === undefined ? EMPTY_COUNTED_STATE : (JSON.parse(stored.value) as CountedState);
    if (state.sealed < window) {
      const reported = Number((await store.get(reportedKey(zone)))?.value ?? 0);
      const statements = await this.collect(window, state, signal);
      authority.assertHeld();
      const prepared = this.prepare(window, state, reported, statements);
      const result = await store.commit({
        compare: [
          authority.comparison(),
          { key: sealKey(zone, window), target: 'create-revision', operand: 0 },
          {
            key: countedKey(zone),
            target: 'mod-revision',
            operand: stored?.modRevision ?? 0,
          },
        ],
        success: [
          { type: 'put', key: sealKey(zone, window), value: prepared.sealText },
          { type: 'put', key: countedKey(zone), value: prepared.stateText },
        ],
        failure: [],
      });
      if (!result.succeeded) {
        this.parts.log.warn('A usage window was not sealed, another instance did it.', { window });
        return;
      }
    }
    this.knownSealed = Math.max(window, state.sealed);
  }

  /** Takes the statement of a peer, if it belongs to the collection in progress. */
  accept(from: InstanceIdentity, message: Extract<PeerMessage, { type: 'usage-statement' }>): void {
    if (this.collection?.round !== message.round) {
      return;
    }
    const { incarnation } = from;
    const { own, adopted } = message;
    this.collection.awaited.delete(incarnation);
    this.collection.statements.set(incarnation, { incarnation, own, adopted });
    this.reportedDead.set(
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
    const round = random.identifier(ROUND_BYTES);
    const collection = { round, awaited: new Set<string>(), statements: new Map() };
    this.collection = collection;
    for (const { name, incarnation } of network.connectedPeers()) {
      collection.awaited.add(incarnation);
      const told = this.marksFor(incarnation, marks);
      network.send(name, { type: 'usage-collect', zone, window, round, marks: told });
    }
    const { incarnation } = network.identity;
    const local = this.source.state(zone, window, this.marksFor(incarnation, marks));
    this.reportedDead.set(
      incarnation,
      local.adopted.map(([dead]) => dead),
    );
    collection.statements.set(incarnation, { incarnation, ...local });
    const deadline = clock.monotonicMilliseconds() + COLLECT_WAIT_MILLISECONDS;
    while (collection.awaited.size > 0 && clock.monotonicMilliseconds() < deadline) {
      await clock.sleep(COLLECT_CHECK_MILLISECONDS, signal);
    }
    this.collection = undefined;
    return [...collection.statements.values()];
  }

  private marksFor(
    incarnation: string,
    marks: ReadonlyMap<string, CountedMark>,
  ): readonly IncarnationMark[] {
    return [incarnation, ...(this.reportedDead.get(incarnation) ?? [])]
      .map((each) => [each, marks.get(each)] as const)
      .filter((entry): entry is IncarnationMark => entry[1] !== undefined);
  }

  /** Encodes the seal, with fewer statements if it is too large; the others go into later ones. */
  private prepare(
    window: number,
    state: CountedState,
    reported: number,
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
      unreported: [...state.unreported.filter((each) => each > reported), window],
      marks: merge.sealedMarks.filter((mark) => this.mustKeep(mark, window)),
    };
    const prepared = { sealText: JSON.stringify(seal), stateText: JSON.stringify(next) };
    const isTooLarge =
      Math.max(Buffer.byteLength(prepared.sealText), Buffer.byteLength(prepared.stateText)) >
      LARGEST_VALUE_BYTES;
    if (!isTooLarge || statements.length === 0) {
      return prepared;
    }
    // Starts at another statement in each window, so that none is always left out.
    const start = window % statements.length;
    const rotated = [...statements.slice(start), ...statements.slice(0, start)];
    const fewer = rotated.slice(0, Math.floor(statements.length / 2));
    return this.prepare(window, state, reported, fewer);
  }

  private mustKeep([incarnation, , changedWindow]: SealedMark, window: number): boolean {
    const isRecent = window - changedWindow < MARK_RETENTION_WINDOWS;
    return isRecent || !this.parts.liveness.isDead(incarnation);
  }
}
