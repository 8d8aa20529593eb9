import { z } from 'zod';

import { WorkKind } from './ClassOfWork.js';

/** Schema of an endpoint kind in a declarations file. */
export const endpointKindSchema = z.strictObject({
  name: z
    .string()
    .regex(
      /^[a-z0-9][a-z0-9-]{0,62}$/u,
      'expected 1 to 63 lower-case letters, digits or hyphens, not starting with a hyphen',
    ),
  serves: z.enum([WorkKind.Model, WorkKind.Service]),
  /** Models that engines of this kind can load. */
  models: z.array(z.string().min(1)).default([]),
  /** Routes of the plain services that endpoints of this kind serve. */
  routes: z.array(z.string().min(1)).default([]),
  /** Whether endpoints of this kind reject orders with an outdated fencing number. */
  checksFencing: z.boolean(),
  /** Whether the platform may reclaim endpoints of this kind at a few seconds' notice. */
  reclaimable: z.boolean().default(false),
  /** Cost of one endpoint per hour, in units of the budget. */
  costPerHour: z.number().nonnegative(),
});

/** A kind of endpoint that the platform can provision. */
export type EndpointKind = Readonly<z.output<typeof endpointKindSchema>>;
