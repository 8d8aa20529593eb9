import { z } from 'zod';

/** Schema of the operator settings file, which holds the URLs of the platform services. */
export const operatorSettingsSchema = z.strictObject({
  platform: z.strictObject({
    keyValue: z.array(z.url({ protocol: /^http$/u })).min(1),
    supply: z.url({ protocol: /^http$/u }),
    instances: z.url({ protocol: /^http$/u }),
    usage: z.url({ protocol: /^http$/u }),
  }),
});

export type OperatorSettings = z.output<typeof operatorSettingsSchema>;
