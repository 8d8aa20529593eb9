import { z } from 'zod';

const listenSchema = z.strictObject({
  address: z.string().min(1),
  /** TCP port; 0 lets the operating system choose. */
  port: z.number().int().min(0).max(65_535),
});

const urlSchema = z.url({ protocol: /^http$/u });

const instanceNameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/u, 'expected a lower-case name');

const seedSchema = z.strictObject({
  name: instanceNameSchema,
  /** URL of the peer's interface for peers. */
  url: z.url({ protocol: /^ws$/u }),
});

/** Schema of a settings file of one entry instance. */
export const settingsSchema = z.strictObject({
  instance: z.strictObject({
    name: instanceNameSchema,
    zone: z.string().min(1),
  }),
  callers: listenSchema,
  peers: listenSchema.extend({
    /** Peers to try while no live instance is known, as when the platform's list is out. */
    seeds: z.array(seedSchema).default([]),
  }),
  platform: z.strictObject({
    /** Base URLs of the key-value service; the first that answers is used. */
    keyValue: z.array(urlSchema).min(1),
    supply: urlSchema,
    instances: urlSchema,
    usage: urlSchema,
  }),
  limits: z
    .strictObject({
      bodyBytes: z.number().int().positive().default(4_194_304),
      headerBytes: z.number().int().positive().default(16_384),
      requestSeconds: z.number().int().positive().default(30),
      callSeconds: z.number().int().positive().default(600),
      callsInFlight: z.number().int().positive().default(4096),
      /** How long a caller may take nothing of its answer before it is cut off. */
      callerStallSeconds: z.number().int().positive().default(60),
      connections: z.number().int().positive().default(10_000),
    })
    .prefault({}),
  drain: z
    .strictObject({
      /** How long work is still taken after the instance reports itself as not ready. */
      announceSeconds: z.number().int().min(0).default(5),
      /** Time for the whole shutdown; calls that still run then are cut off. */
      deadlineSeconds: z.number().int().positive().default(600),
    })
    .prefault({}),
  log: z
    .strictObject({ level: z.enum(['error', 'warn', 'info', 'debug']).default('info') })
    .prefault({}),
});

/** The settings of one entry instance. */
export type Settings = z.output<typeof settingsSchema>;
