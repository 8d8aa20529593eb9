import { z } from 'zod';
import { FailureKind } from 'hickoryrelay/Failure';
import { SystemRandomSource } from 'hickoryrelay/RandomSource';
import { RelayError } from 'hickoryrelay/RelayError';
import {
  assembleDocument,
  BUCKET_COUNT,
  digestBucket,
  splitIntoBuckets,
} from 'hickoryrelay-contract/ConfigurationBucket';

import { StoreRevision } from './StoreRevision.js';

import type { KeyValue, KeyValueStore, Operation } from './KeyValueStore.js';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { DeclarationsDocument } from 'hickoryrelay-contract/Declarations';

export const CONFIGURATION_PREFIX = '/hickoryrelay/configuration/';
export const HEAD_KEY = `${CONFIGURATION_PREFIX}head`;
export const HISTORY_KEY = `${CONFIGURATION_PREFIX}history`;

/** Matches head and history, so that a single call reads both at the same store revision. */
const HEAD_AND_HISTORY_PREFIX = `${CONFIGURATION_PREFIX}h`;

const MAX_HISTORY_ENTRIES = 200;

/** Above this number of changed buckets, one read of all buckets is cheaper than a call for each. */
const MAX_BUCKET_READS = 8;

const WRITER_IDENTIFIER_BYTES = 12;

const headSchema = z.object({
  revision: z.number().int().positive(),
  digests: z.array(z.string()).length(BUCKET_COUNT),
});

/** Identifies a configuration by its revision and the digests of its buckets. */
export interface ConfigurationHead {
  readonly revision: number;
  readonly digests: readonly string[];
}

/** A complete configuration: its head and all serialized buckets. */
export interface Configuration {
  readonly head: ConfigurationHead;
  readonly texts: readonly string[];
}

/** An entry of the configuration history. */
export interface HistoryEntry {
  readonly revision: number;
  readonly wallMilliseconds: number;
  readonly author: string;
  readonly summary: string;
  /** Unique per attempt to replace; shows which attempt took effect when a response is lost. */
  readonly writer?: string;
}

/** A head and the store revision at which it was read. */
export interface HeadSnapshot {
  readonly head: ConfigurationHead | undefined;
  readonly storeRevision: StoreRevision;
}

/** The stored head with the revision to compare, and the history. */
interface StoredHead {
  readonly head: ConfigurationHead | undefined;
  readonly modRevision: StoreRevision;
  readonly history: readonly HistoryEntry[];
}

/** Metadata of a configuration change, recorded in the history. */
export interface ChangeMetadata {
  readonly author: string;
  readonly summary: string;
  readonly wallMilliseconds: number;
}

/** How an attempt to put a configuration back has ended. */
export const PutBackOutcome = {
  Written: 'written',
  /** The stored configuration is not one that the store has forgotten. */
  Refused: 'refused',
  /** Another writer has replaced the stored configuration first. */
  Overtaken: 'overtaken',
} as const;

export type PutBackOutcome = (typeof PutBackOutcome)[keyof typeof PutBackOutcome];

const EMPTY_BUCKET = '[]';

function decodeHead({ value }: Pick<KeyValue, 'value'>): ConfigurationHead {
  try {
    return headSchema.parse(JSON.parse(value));
  } catch (error) {
    const reason = 'the configuration head is malformed';
    throw new RelayError(
      { kind: FailureKind.ProtocolViolation, peer: 'key-value service', reason },
      error,
    );
  }
}

function requireMatchingDigests(configuration: Configuration): Configuration {
  if (!matchesDigests(configuration)) {
    throw new RelayError({
      kind: FailureKind.ProtocolViolation,
      peer: 'key-value service',
      reason: `buckets of revision ${configuration.head.revision} do not match their digests`,
    });
  }
  return configuration;
}

/** Returns whether two heads are of the same configuration. Equal revisions do not prove it. */
export function isSameHead(left: ConfigurationHead, right: ConfigurationHead): boolean {
  return (
    left.revision === right.revision &&
    left.digests.every((digest, index) => digest === right.digests[index])
  );
}

export function bucketKey(index: number): string {
  return `${CONFIGURATION_PREFIX}bucket/${String(index).padStart(2, '0')}`;
}

/** Returns whether the buckets are complete and match the digests in the head. */
export function matchesDigests({ head, texts }: Configuration): boolean {
  return (
    texts.length === BUCKET_COUNT &&
    head.digests.length === BUCKET_COUNT &&
    // Iterates over the digests, because `every` skips the empty slots of a sparse array of texts.
    head.digests.every((digest, index) => {
      const text = texts[index];
      return text !== undefined && digestBucket(text) === digest;
    })
  );
}

/** Reads and replaces the configuration in the platform's key-value service. */
export class ConfigurationStore {
  private readonly store: KeyValueStore;

  private readonly random: RandomSource;

  constructor(store: KeyValueStore, random: RandomSource = new SystemRandomSource()) {
    this.store = store;
    this.random = random;
  }

  /** Reads only the head. Returns undefined before the first apply. */
  async readHead(): Promise<ConfigurationHead | undefined> {
    const { head } = await this.readHeadWithRevision();
    return head;
  }

  /** Reads the head and the store revision from which a watch sees every later change. */
  async readHeadWithRevision(): Promise<HeadSnapshot> {
    const { revision, values } = await this.store.range(HEAD_KEY);
    return { head: values[0] && decodeHead(values[0]), storeRevision: revision };
  }

  /** Yields each head that is written after the given store revision. */
  async *watchHead(
    storeRevision: StoreRevision,
    signal: AbortSignal,
  ): AsyncGenerator<ConfigurationHead, void, void> {
    for await (const { events } of this.store.watch(HEAD_KEY, storeRevision.next, signal)) {
      for (const event of events) {
        if (event.type === 'put' && event.value.key === HEAD_KEY) {
          yield decodeHead(event.value);
        }
      }
    }
  }

  /**
   * Reads a configuration, fetching only the buckets that differ from the current one. Throws
   * `protocol-violation` if a newer configuration was written meanwhile; the caller retries later.
   */
  async readChanges(
    head: ConfigurationHead,
    current: Configuration | undefined,
  ): Promise<Configuration | undefined> {
    const changed = head.digests.flatMap((digest, index) =>
      current?.head.digests[index] === digest ? [] : [index],
    );
    if (current === undefined || changed.length > MAX_BUCKET_READS) {
      return this.read();
    }
    const storedBuckets = await Promise.all(
      changed.map((index) => this.store.get(bucketKey(index))),
    );
    const texts = [...current.texts];
    changed.forEach((index, position) => {
      texts[index] = storedBuckets[position]?.value ?? EMPTY_BUCKET;
    });
    return requireMatchingDigests({ head, texts });
  }

  /** Reads the head and all buckets in one call. Returns undefined before the first apply. */
  async read(): Promise<Configuration | undefined> {
    const { values } = await this.store.range(CONFIGURATION_PREFIX, { prefix: true });
    const valuesByKey = new Map(values.map((entry) => [entry.key, entry.value]));
    const headText = valuesByKey.get(HEAD_KEY);
    if (headText === undefined) {
      return undefined;
    }
    const texts = Array.from({ length: BUCKET_COUNT }, (empty, index) =>
      String(valuesByKey.get(bucketKey(index)) ?? EMPTY_BUCKET),
    );
    return requireMatchingDigests({ head: decodeHead({ value: headText }), texts });
  }

  async readHistory(): Promise<readonly HistoryEntry[]> {
    const stored = await this.store.get(HISTORY_KEY);
    return stored === undefined ? [] : (JSON.parse(stored.value) as HistoryEntry[]);
  }

  /**
   * Replaces the configuration if its revision is still the expected one (0 before the first
   * apply). Throws `revision-conflict` if another operator has replaced it. If the response is lost,
   * the history is read back to find out whether the write took effect.
   *
   * Instances ignore revisions that they have passed, so the revision that is in force there counts
   * as the current one if the store has gone back to a lower one.
   */
  async replace(
    document: DeclarationsDocument,
    expectedRevision: number,
    metadata: ChangeMetadata,
    revisionInForce = 0,
  ): Promise<ConfigurationHead> {
    const newBuckets = splitIntoBuckets(document);
    // Throws if the document is invalid, so that no invalid configuration is stored.
    assembleDocument(newBuckets.texts);
    const stored = await this.readHeadAndHistory();
    const found = Math.max(stored.head?.revision ?? 0, revisionInForce);
    if (found !== expectedRevision) {
      throw new RelayError({
        kind: FailureKind.RevisionConflict,
        expected: expectedRevision,
        found,
      });
    }
    const head = { revision: expectedRevision + 1, digests: newBuckets.digests };
    if (await this.write({ head, texts: newBuckets.texts }, stored, metadata)) {
      return head;
    }
    throw new RelayError({
      kind: FailureKind.RevisionConflict,
      expected: expectedRevision,
      found: (await this.readHead())?.revision ?? 0,
    });
  }

  /**
   * Writes a configuration with its own revision over one that a restored store has gone back to.
   * `isForgotten` decides whether the stored head may be replaced.
   */
  async putBack(
    configuration: Configuration,
    isForgotten: (head: ConfigurationHead | undefined) => boolean,
    metadata: ChangeMetadata,
  ): Promise<PutBackOutcome> {
    const stored = await this.readHeadAndHistory();
    if (!isForgotten(stored.head)) {
      return PutBackOutcome.Refused;
    }
    const isWritten = await this.write(configuration, stored, metadata);
    return isWritten ? PutBackOutcome.Written : PutBackOutcome.Overtaken;
  }

  private async readHeadAndHistory(): Promise<StoredHead> {
    const { values } = await this.store.range(HEAD_AND_HISTORY_PREFIX, { prefix: true });
    const storedHead = values.find(({ key }) => key === HEAD_KEY);
    const storedHistory = values.find(({ key }) => key === HISTORY_KEY);
    return {
      head: storedHead && decodeHead(storedHead),
      modRevision: storedHead?.modRevision ?? StoreRevision.None,
      history: JSON.parse(storedHistory?.value ?? '[]') as HistoryEntry[],
    };
  }

  /** Writes a configuration unless the head has been replaced since it was read. */
  private async write(
    { head, texts }: Configuration,
    stored: StoredHead,
    metadata: ChangeMetadata,
  ): Promise<boolean> {
    const puts: Operation[] = texts.flatMap((value, index) =>
      stored.head?.digests[index] === head.digests[index]
        ? []
        : [{ type: 'put' as const, key: bucketKey(index), value }],
    );
    const writer = this.random.identifier(WRITER_IDENTIFIER_BYTES);
    const entry: HistoryEntry = { revision: head.revision, ...metadata, writer };
    const newHistory = [...stored.history, entry].slice(-MAX_HISTORY_ENTRIES);
    const transaction = {
      compare: [{ key: HEAD_KEY, target: 'mod-revision' as const, operand: stored.modRevision }],
      success: [
        ...puts,
        { type: 'put' as const, key: HISTORY_KEY, value: JSON.stringify(newHistory) },
        { type: 'put' as const, key: HEAD_KEY, value: JSON.stringify(head) },
      ],
      failure: [{ type: 'range' as const, key: HEAD_KEY }],
    };
    return this.commitAndConfirm(transaction, writer);
  }

  /**
   * Commits, and on failure looks for the writer in the history. The head alone is not sufficient,
   * because a later change may already have replaced it.
   */
  private async commitAndConfirm(
    transaction: Parameters<KeyValueStore['commit']>[0],
    writer: string,
  ): Promise<boolean> {
    try {
      const result = await this.store.commit(transaction);
      return result.succeeded;
    } catch (error) {
      const history = await this.readHistory().catch(() => []);
      if (history.some((entry) => entry.writer === writer)) {
        return true;
      }
      throw error;
    }
  }
}
