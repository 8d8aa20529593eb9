import { z } from 'zod';

const MAXIMUM_NAME_LENGTH = 256;
const MAXIMUM_LIST_LENGTH = 100_000;

const name = z.string().max(MAXIMUM_NAME_LENGTH);
const count = z.number().int().nonnegative();

/**
 * Maximum number of sequences in a list of runs. A few bytes can encode any number of sequences,
 * and a receiver iterates over all of them. At 97 calls a second an instance needs 28 hours to
 * reach this number.
 */
const MAXIMUM_RUN_TOTAL = 10_000_000;

function totalRunLength(runs: readonly number[]): number {
  return runs.reduce((sum, length, index) => (index % 2 === 1 ? sum + length : sum), 0);
}

/** Schema of ascending numbers that are run-length encoded. */
export const sequenceRuns = z
  .array(count)
  .max(MAXIMUM_LIST_LENGTH)
  .refine((runs) => runs.length % 2 === 0 && totalRunLength(runs) <= MAXIMUM_RUN_TOTAL);
const mark = z.strictObject({ upTo: count, gaps: sequenceRuns });
const lineEntry = z.tuple([name, name, name, count, count, count, count]);
const adoptedEntry = z.tuple([count, name, name, name, count, count, count, z.boolean()]);

/** Schemas of usage messages that are rare and therefore sent with field names. */
export const usageMessageSchemas = [
  z.strictObject({
    type: z.literal('usage-collect'),
    zone: name,
    window: count,
    round: name,
    marks: z.array(z.tuple([name, mark])).max(MAXIMUM_LIST_LENGTH),
  }),
  z.strictObject({
    type: z.literal('usage-statement'),
    round: name,
    own: z
      .strictObject({ sequences: sequenceRuns, lines: z.array(lineEntry).max(MAXIMUM_LIST_LENGTH) })
      .optional(),
    adopted: z
      .array(z.tuple([name, z.array(adoptedEntry).max(MAXIMUM_LIST_LENGTH)]))
      .max(MAXIMUM_LIST_LENGTH),
  }),
] as const;
