import {
  BUCKET_COUNT,
  bucketsOf,
  digestBucket,
  documentFrom,
} from 'hickoryrelay-contract/ConfigurationBucket';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import type { DeclarationsDocument } from 'hickoryrelay-contract/Declarations';
import type { KeyValueStore, Operation } from './KeyValueStore.js';

export const CONFIGURATION_PREFIX = '/hickoryrelay/configuration/';
export const HEAD_KEY = `${CONFIGURATION_PREFIX}head`;
export const HISTORY_KEY = `${CONFIGURATION_PREFIX}history`;

const HISTORY_LENGTH = 200;

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
}

/** Who changes a configuration, and what to put into the history. */
export interface ChangeNote {
  readonly author: string;
  readonly summary: string;
  readonly wallMilliseconds: number;
}

export function bucketKey(index: number): string {
  return `${CONFIGURATION_PREFIX}bucket/${String(index).padStart(2, '0')}`;
}

/** Tells whether the texts are the ones that the head names. */
export function isWhole({ head, texts }: Configuration): boolean {
  return (
    texts.length === BUCKET_COUNT &&
    texts.every((text, index) => digestBucket(text) === head.digests[index])
  );
}

/** Reads and replaces the configuration in the platform's key-value service. */
export class ConfigurationStore {
  private readonly store: KeyValueStore;

  constructor(store: KeyValueStore) {
    this.store = store;
  }

  /** Reads only the head; undefined before the first apply. */
  async readHead(): Promise<ConfigurationHead | undefined> {
    const stored = await this.store.get(HEAD_KEY);
    return stored && (JSON.parse(stored.value) as ConfigurationHead);
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
      String(byKey.get(bucketKey(index)) ?? '[]'),
    );
    const configuration = { head: JSON.parse(headText) as ConfigurationHead, texts };
    if (!isWhole(configuration)) {
      throw new RelayError({
        kind: FailureKind.ProtocolViolation,
        peer: 'key-value service',
        reason: `buckets of revision ${configuration.head.revision} do not match their digests`,
      });
    }
    return configuration;
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
    const buckets = bucketsOf(document);
    documentFrom(buckets.texts);
    const [storedHead, history] = await Promise.all([this.store.get(HEAD_KEY), this.readHistory()]);
    const current = storedHead && (JSON.parse(storedHead.value) as ConfigurationHead);
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
    const entry: HistoryEntry = { revision: head.revision, ...note };
    const newHistory = [...history, entry].slice(-HISTORY_LENGTH);
    const headText = JSON.stringify({ ...head, writer: `${note.author}/${note.wallMilliseconds}` });
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
        { type: 'put' as const, key: HEAD_KEY, value: headText },
      ],
      failure: [{ type: 'range' as const, key: HEAD_KEY }],
    };
    if (await this.commitOrReadBack(transaction, headText)) {
      return head;
    }
    throw new RelayError({
      kind: FailureKind.RevisionConflict,
      expected: expectedRevision,
      found: (await this.readHead())?.revision ?? 0,
    });
  }

  private async commitOrReadBack(
    transaction: Parameters<KeyValueStore['commit']>[0],
    headText: string,
  ): Promise<boolean> {
    try {
      const result = await this.store.commit(transaction);
      return result.succeeded;
    } catch (error) {
      const stored = await this.store.get(HEAD_KEY);
      if (stored?.value === headText) {
        return true;
      }
      throw error;
    }
  }
}
