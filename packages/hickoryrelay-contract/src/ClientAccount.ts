import { z } from 'zod';

import { AccessKey, accessKeySchema } from './AccessKey.js';

/** Schema of a client account in a declarations file. */
export const clientAccountSchema = z.strictObject({
  name: z
    .string()
    .regex(
      /^[a-z0-9][a-z0-9-]{0,62}$/u,
      'expected 1 to 63 lower-case letters, digits or hyphens, not starting with a hyphen',
    ),
  classes: z.array(z.string()).min(1),
  /** Salted hashes of the access keys. If omitted, the stored keys are kept. */
  keys: z.array(accessKeySchema).optional(),
});

/** A client account as declared. */
export type ClientAccountDeclaration = z.output<typeof clientAccountSchema>;

/** A tenant with its access keys and the classes of work that it may use. Immutable. */
export class ClientAccount {
  readonly name: string;

  readonly classNames: readonly string[];

  readonly keys: readonly AccessKey[];

  constructor(declaration: ClientAccountDeclaration) {
    this.name = declaration.name;
    this.classNames = declaration.classes;
    this.keys = (declaration.keys ?? []).map((key) => new AccessKey(key));
  }

  mayUse(className: string): boolean {
    return this.classNames.includes(className);
  }
}
