import { z } from 'zod';

import { CacheEventKind } from './PrefixIndex.js';
import type { CacheChanges, CacheEvent, CacheSnapshot } from './PrefixIndex.js';

const MAXIMUM_KEY_LENGTH = 64;

const eventNumberSchema = z.number().int().nonnegative();
const keySchema = z.string().min(1).max(MAXIMUM_KEY_LENGTH);
const headerSchema = z.object({
  incarnation: z.string().min(1).max(MAXIMUM_KEY_LENGTH),
  last_number: eventNumberSchema,
});

/** A run of events of one kind with consecutive numbers. A `cleared` event has no key. */
const runSchema = z.discriminatedUnion('kind', [
  z.object({
    first_number: eventNumberSchema,
    kind: z.enum([CacheEventKind.Stored, CacheEventKind.Evicted]),
    keys: z.array(keySchema).min(1),
  }),
  z.object({ first_number: eventNumberSchema, kind: z.literal(CacheEventKind.Cleared) }),
]);

/** Schema of an engine's response to `GET /cache_events?after=`. */
export const cacheChangesSchema = headerSchema.extend({ runs: z.array(runSchema) });

/** Schema of an engine's response to `GET /cache_events`. */
export const cacheSnapshotSchema = headerSchema.extend({ keys: z.array(keySchema) });

export type CacheEventRun = z.output<typeof runSchema>;

function decodeRun(run: CacheEventRun): CacheEvent[] {
  if (run.kind === CacheEventKind.Cleared) {
    return [{ number: run.first_number, kind: run.kind, key: '' }];
  }
  const { first_number: first, keys, kind } = run;
  return keys.map((key, index) => ({ number: first + index, kind, key }));
}

/**
 * Encodes events as runs of one kind with consecutive numbers. The event number is most of the size
 * of an event, and a run contains only the first one.
 */
export function encodeRuns(events: readonly CacheEvent[]): CacheEventRun[] {
  const runs: CacheEventRun[] = [];
  for (const { key, kind, number } of events) {
    const last = runs.at(-1);
    if (kind === CacheEventKind.Cleared) {
      runs.push({ first_number: number, kind });
    } else if (last?.kind === kind && last.first_number + last.keys.length === number) {
      last.keys.push(key);
    } else {
      runs.push({ first_number: number, kind, keys: [key] });
    }
  }
  return runs;
}

/** Decodes the events of an engine's cache. Throws if they are malformed. */
export function decodeCacheChanges(body: unknown): CacheChanges {
  const { incarnation, last_number: lastNumber, runs } = cacheChangesSchema.parse(body);
  return { incarnation, lastNumber, events: runs.flatMap((run) => decodeRun(run)) };
}

/** Decodes a snapshot of an engine's cache. Throws if it is malformed. */
export function decodeCacheSnapshot(body: unknown): CacheSnapshot {
  const { incarnation, keys, last_number: lastNumber } = cacheSnapshotSchema.parse(body);
  return { incarnation, lastNumber, keys };
}
