import { z } from 'zod';

const NAME_LENGTH = 256;
const LIST_LENGTH = 100_000;

const name = z.string().max(NAME_LENGTH);
const count = z.number().int().nonnegative();
const runs = z.array(count).max(LIST_LENGTH);
const mark = z.strictObject({ upTo: count, gaps: runs });
const identifier = z.union([name, z.instanceof(Uint8Array)]);
const recordEntry = z.tuple([
  ...([count, identifier, count, count, count, count, count, count, count] as const),
]);
const lineEntry = z.tuple([name, name, name, count, count, count, count]);
const adoptedEntry = z.tuple([count, name, name, name, count, count, count, z.boolean()]);

/** Schemas of the usage messages, as they are sent. */
export const usageMessages = [
  z.strictObject({
    type: z.literal('usage-open'),
    number: count,
    names: z.array(z.tuple([count, name])).max(LIST_LENGTH),
    records: z.array(recordEntry).max(LIST_LENGTH),
  }),
  z.strictObject({
    type: z.literal('usage-progress'),
    entries: z.array(z.tuple([count, count])).max(LIST_LENGTH),
    counted: mark.optional(),
  }),
  z.strictObject({
    type: z.literal('usage-close'),
    number: count,
    window: count,
    entries: z.array(z.tuple([count, count, count])).max(LIST_LENGTH),
  }),
  z.strictObject({ type: z.literal('usage-acknowledged'), incarnation: name, number: count }),
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
