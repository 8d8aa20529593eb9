import { z } from 'zod';

const NAME_LENGTH = 256;
const LIST_LENGTH = 100_000;

const name = z.string().max(NAME_LENGTH);
const count = z.number().int().nonnegative();
const runs = z.array(count).max(LIST_LENGTH);
const mark = z.strictObject({ upTo: count, gaps: runs });
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
    own: z.strictObject({ sequences: runs, lines: z.array(lineEntry).max(LIST_LENGTH) }).optional(),
    adopted: z.array(z.tuple([name, z.array(adoptedEntry).max(LIST_LENGTH)])).max(LIST_LENGTH),
  }),
] as const;
