import { z } from 'zod';

import { WorkKind } from './ClassOfWork.js';

/** Schema of a kind of endpoint in a declarations file. */
export const endpointKindSchema = z.strictObject({
  name: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/u, 'expected a lower-case name'),
  serves: z.enum([WorkKind.Model, WorkKind.Service]),
  /** Models that an engine of this kind can load. */
  models: z.array(z.string().min(1)).default([]),
  /** Routes of the plain services that an endpoint of this kind answers. */
  routes: z.array(z.string().min(1)).default([]),
  /** True if endpoints of this kind refuse orders with an old fencing number. */
  checksFencing: z.boolean(),
  /** True if the platform may take endpoints of this kind back at a few seconds' notice. */
  reclaimable: z.boolean().default(false),
  /** Cost of one endpoint for an hour, in units of the budget. */
  costPerHour: z.number().nonnegative(),
});

/** A kind of endpoint that the platform can supply. */
export type EndpointKind = Readonly<z.output<typeof endpointKindSchema>>;
