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

import type { KeyValue, KeyValueStore, Operation } from './KeyValueStore.js';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { DeclarationsDocument } from 'hickoryrelay-contract/Declarations';

export const CONFIGURATION_PREFIX = '/hickoryrelay/configuration/';
export const HEAD_KEY = `${CONFIGURATION_PREFIX}head`;
export const HISTORY_KEY = `${CONFIGURATION_PREFIX}history`;

/** Covers head and history, so that one call reads both at one revision of the store. */
const HEAD_AND_HISTORY_PREFIX = `${CONFIGURATION_PREFIX}h`;

const HISTORY_LENGTH = 200;

/** Beyond this many changed buckets one read of everything is cheaper than a call for each. */
const SINGLE_READS = 8;

const WRITER_BYTES = 12;

const headSchema = z.object({
  revision: z.number().int().positive(),
  digests: z.array(z.string()).length(BUCKET_COUNT),
});

/** What names a configuration: its revision and the digests of its buckets. */
export interface ConfigurationHead {
  readonly revision: number;
  readonly digests: readonly string[];
}

/** A whole configuration: its head and the texts of all buckets. */
export interface Configuration {
  readonly head: ConfigurationHead;
  readonly texts: readonly string[];
}

/** One line of the history of configurations. */
export interface HistoryEntry {
  readonly revision: number;
  readonly wallMilliseconds: number;
  readonly author: string;
  readonly summary: string;
  /** Unique for each attempt to replace; tells whose attempt took effect when an answer is lost. */
  readonly writer?: string;
}

/** A head and the revision of the store at which it was read. */
export interface HeadReading {
  readonly head: ConfigurationHead | undefined;
  readonly storeRevision: number;
}

/** Who changes a configuration, and what to put into the history. */
export interface ChangeNote {
  readonly author: string;
  readonly summary: string;
  readonly wallMilliseconds: number;
}

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

function wholeOrThrow(configuration: Configuration): Configuration {
  if (!isWhole(configuration)) {
    throw new RelayError({
      kind: FailureKind.ProtocolViolation,
      peer: 'key-value service',
      reason: `buckets of revision ${configuration.head.revision} do not match their digests`,
    });
  }
  return configuration;
}

export function bucketKey(index: number): string {
  return `${CONFIGURATION_PREFIX}bucket/${String(index).padStart(2, '0')}`;
}

/** Tells whether the texts are the ones that the head names. */
export function isWhole({ head, texts }: Configuration): boolean {
  return (
    texts.length === BUCKET_COUNT &&
    head.digests.length === BUCKET_COUNT &&
    // Goes through the digests, because `every` passes over the holes of a list with gaps.
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

  /** Reads only the head; undefined before the first apply. */
  async readHead(): Promise<ConfigurationHead | undefined> {
    const { head } = await this.readHeadWithRevision();
    return head;
  }

  /** Reads the head and the revision from which a watch misses nothing. */
  async readHeadWithRevision(): Promise<HeadReading> {
    const { revision, values } = await this.store.range(HEAD_KEY);
    return { head: values[0] && decodeHead(values[0]), storeRevision: revision };
  }

  /** Yields each head that is written after the given revision of the store. */
  async *watchHead(
    storeRevision: number,
    signal: AbortSignal,
  ): AsyncGenerator<ConfigurationHead, void, void> {
    for await (const { events } of this.store.watch(HEAD_KEY, storeRevision + 1, signal)) {
      for (const event of events) {
        if (event.type === 'put' && event.value.key === HEAD_KEY) {
          yield decodeHead(event.value);
        }
      }
    }
  }

  /**
   * Reads the configuration, and of its buckets only those that the present one lacks. Throws
   * `protocol-violation` if a newer one was written meanwhile; the caller reads again later.
   */
  async readChanges(
    head: ConfigurationHead,
    present: Configuration | undefined,
  ): Promise<Configuration | undefined> {
    const changed = head.digests.flatMap((digest, index) =>
      present?.head.digests[index] === digest ? [] : [index],
    );
    if (present === undefined || changed.length > SINGLE_READS) {
      return this.read();
    }
    const stored = await Promise.all(changed.map((index) => this.store.get(bucketKey(index))));
    const texts = [...present.texts];
    changed.forEach((index, position) => {
      texts[index] = stored[position]?.value ?? EMPTY_BUCKET;
    });
    return wholeOrThrow({ head, texts });
  }

  /** Reads head and all buckets in one call; undefined before the first apply. */
  async read(): Promise<Configuration | undefined> {
    const { values } = await this.store.range(CONFIGURATION_PREFIX, { prefix: true });
    const byKey = new Map(values.map((each) => [each.key, each.value]));
    const headText = byKey.get(HEAD_KEY);
    if (headText === undefined) {
      return undefined;
    }
    const texts = Array.from({ length: BUCKET_COUNT }, (empty, index) =>
      String(byKey.get(bucketKey(index)) ?? EMPTY_BUCKET),
    );
    return wholeOrThrow({ head: decodeHead({ value: headText }), texts });
  }

  async readHistory(): Promise<readonly HistoryEntry[]> {
    const stored = await this.store.get(HISTORY_KEY);
    return stored === undefined ? [] : (JSON.parse(stored.value) as HistoryEntry[]);
  }

  /**
   * Replaces the configuration if its revision is still the expected one (0 before the first
   * apply). Throws `revision-conflict` if another operator was first. A lost answer is resolved by
   * reading the head back.
   */
  async replace(
    document: DeclarationsDocument,
    expectedRevision: number,
    note: ChangeNote,
  ): Promise<ConfigurationHead> {
    const buckets = splitIntoBuckets(document);
    assembleDocument(buckets.texts);
    const { values } = await this.store.range(HEAD_AND_HISTORY_PREFIX, { prefix: true });
    const storedHead = values.find(({ key }) => key === HEAD_KEY);
    const storedHistory = values.find(({ key }) => key === HISTORY_KEY);
    const history = JSON.parse(storedHistory?.value ?? '[]') as HistoryEntry[];
    const current = storedHead && decodeHead(storedHead);
    const found = current?.revision ?? 0;
    if (found !== expectedRevision) {
      throw new RelayError({
        kind: FailureKind.RevisionConflict,
        expected: expectedRevision,
        found,
      });
    }
    const head = { revision: expectedRevision + 1, digests: buckets.digests };
    const changed: Operation[] = buckets.texts.flatMap((value, index) =>
      current?.digests[index] === buckets.digests[index]
        ? []
        : [{ type: 'put' as const, key: bucketKey(index), value }],
    );
    const writer = this.random.identifier(WRITER_BYTES);
    const entry: HistoryEntry = { revision: head.revision, ...note, writer };
    const newHistory = [...history, entry].slice(-HISTORY_LENGTH);
    const transaction = {
      compare: [
        {
          key: HEAD_KEY,
          target: 'mod-revision' as const,
          operand: storedHead?.modRevision ?? 0,
        },
      ],
      success: [
        ...changed,
        { type: 'put' as const, key: HISTORY_KEY, value: JSON.stringify(newHistory) },
        { type: 'put' as const, key: HEAD_KEY, value: JSON.stringify(head) },
      ],
      failure: [{ type: 'range' as const, key: HEAD_KEY }],
    };
    if (await this.commitOrReadBack(transaction, writer)) {
      return head;
    }
    throw new RelayError({
      kind: FailureKind.RevisionConflict,
      expected: expectedRevision,
      found: (await this.readHead())?.revision ?? 0,
    });
  }

  /** Looks into the history, because a later change may have replaced the head already. */
  private async commitOrReadBack(
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
