import { z } from 'zod';

const NAME_LENGTH = 256;
const LIST_LENGTH = 100_000;

const name = z.string().max(NAME_LENGTH);
const count = z.number().int().nonnegative();

/**
 * Sequences that runs may stand for, since a few bytes can name any number of them and a receiver
 * goes through all. An instance takes 28 hours for as many at 97 calls a second.
 */
const RUNS_TOTAL = 10_000_000;

function totalOf(runs: readonly number[]): number {
  return runs.reduce((sum, length, index) => (index % 2 === 1 ? sum + length : sum), 0);
}

/** Schema of ascending numbers as runs. */
export const sequenceRuns = z
  .array(count)
  .max(LIST_LENGTH)
  .refine((runs) => runs.length % 2 === 0 && totalOf(runs) <= RUNS_TOTAL);
const mark = z.strictObject({ upTo: count, gaps: sequenceRuns });
const lineEntry = z.tuple([name, name, name, count, count, count, count]);
const adoptedEntry = z.tuple([count, name, name, name, count, count, count, z.boolean()]);

/** Schemas of the usage messages that are sent with field names, because they are rare. */
export const usageMessages = [
  z.strictObject({
    type: z.literal('usage-collect'),
    zone: name,
    window: count,
    round: name,
    marks: z.array(z.tuple([name, mark])).max(LIST_LENGTH),
  }),
  z.strictObject({
    type: z.literal('usage-statement'),
    round: name,
    own: z
      .strictObject({ sequences: sequenceRuns, lines: z.array(lineEntry).max(LIST_LENGTH) })
      .optional(),
    adopted: z.array(z.tuple([name, z.array(adoptedEntry).max(LIST_LENGTH)])).max(LIST_LENGTH),
  }),
] as const;
