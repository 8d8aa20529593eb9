import { z } from 'zod';

import { CacheEventKind } from './PrefixIndex.js';
import type { CacheChanges, CacheEvent, CacheSnapshot } from './PrefixIndex.js';

const LONGEST_KEY = 64;

const numberSchema = z.number().int().nonnegative();
const keySchema = z.string().min(1).max(LONGEST_KEY);
const headSchema = z.object({
  incarnation: z.string().min(1).max(LONGEST_KEY),
  last_number: numberSchema,
});

/** Events of one kind with consecutive numbers. A clearing of the cache names no key. */
const runSchema = z.discriminatedUnion('kind', [
  z.object({
    first_number: numberSchema,
    kind: z.enum([CacheEventKind.Stored, CacheEventKind.Evicted]),
    keys: z.array(keySchema).min(1),
  }),
  z.object({ first_number: numberSchema, kind: z.literal(CacheEventKind.Cleared) }),
]);

/** Schema of what an engine answers to `GET /cache_events?after=`. */
export const cacheChangesSchema = headSchema.extend({ runs: z.array(runSchema) });

/** Schema of what an engine answers to `GET /cache_events`. */
export const cacheSnapshotSchema = headSchema.extend({ keys: z.array(keySchema) });

export type CacheEventRun = z.output<typeof runSchema>;

function eventsOf(run: CacheEventRun): CacheEvent[] {
  if (run.kind === CacheEventKind.Cleared) {
    return [{ number: run.first_number, kind: run.kind, key: '' }];
  }
  const { first_number: first, keys, kind } = run;
  return keys.map((key, index) => ({ number: first + index, kind, key }));
}

/** Joins events of one kind with consecutive numbers, since the number is most of an event's size. */
export function runsOf(events: readonly CacheEvent[]): CacheEventRun[] {
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
  return { incarnation, lastNumber, events: runs.flatMap((run) => eventsOf(run)) };
}

/** Decodes a snapshot of an engine's cache. Throws if it is malformed. */
export function decodeCacheSnapshot(body: unknown): CacheSnapshot {
  const { incarnation, keys, last_number: lastNumber } = cacheSnapshotSchema.parse(body);
  return { incarnation, lastNumber, keys };
}
