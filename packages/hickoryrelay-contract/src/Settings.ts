import { z } from 'zod';

const listenAddressSchema = z.strictObject({
  address: z.string().min(1),
  /** TCP port; 0 selects a free port. */
  port: z.number().int().min(0).max(65_535),
});

const urlSchema = z.url({ protocol: /^http$/u });

const instanceNameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9-]{0,62}$/u,
    'expected 1 to 63 lower-case letters, digits or hyphens, not starting with a hyphen',
  );

const seedSchema = z.strictObject({
  name: instanceNameSchema,
  /** WebSocket URL of the peer interface of that instance. */
  url: z.url({ protocol: /^ws$/u }),
});

/** Schema of the settings file of an entry instance. */
export const settingsSchema = z.strictObject({
  instance: z.strictObject({
    name: instanceNameSchema,
    zone: z.string().min(1),
  }),
  callers: listenAddressSchema,
  peers: listenAddressSchema.extend({
    /** Peers to contact while no live instance is known, as in an outage of the instance list. */
    seeds: z.array(seedSchema).default([]),
  }),
  platform: z.strictObject({
    /** Base URLs of the key-value service. After a failed call, the next URL is used. */
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
      /** Time without progress in reading the response after which the caller is disconnected. */
      callerStallSeconds: z.number().int().positive().default(60),
      connections: z.number().int().positive().default(10_000),
      /** Memory of the machine. A share of it is held for callers. */
      memoryMegabytes: z.number().positive().default(1024),
      /** File descriptors of the process. A share of them is used for calls that run. */
      fileDescriptors: z.number().int().positive().default(25_000),
    })
    .prefault({}),
  drain: z
    .strictObject({
      /** How long the instance accepts new work after it reports that it is not ready. */
      announceSeconds: z.number().int().min(0).default(5),
      /** Time limit of the shutdown; calls still running after it are aborted. */
      deadlineSeconds: z.number().int().positive().default(600),
    })
    .prefault({}),
  log: z
    .strictObject({ level: z.enum(['error', 'warn', 'info', 'debug']).default('info') })
    .prefault({}),
});

/** The settings of an entry instance. */
export type Settings = z.output<typeof settingsSchema>;
