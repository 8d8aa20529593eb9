import { z } from 'zod';

/** Schema of an operator's settings file: where the platform's services are. */
export const operatorSettingsSchema = z.strictObject({
  platform: z.strictObject({
    keyValue: z.array(z.url({ protocol: /^http$/u })).min(1),
    supply: z.url({ protocol: /^http$/u }),
    instances: z.url({ protocol: /^http$/u }),
    usage: z.url({ protocol: /^http$/u }),
  }),
});

/** The settings of the command-line tool. */
export type OperatorSettings = z.output<typeof operatorSettingsSchema>;
