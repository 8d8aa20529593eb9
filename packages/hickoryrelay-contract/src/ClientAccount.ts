import { z } from 'zod';

import { AccessKey, accessKeySchema } from './AccessKey.js';

/** Schema of a client account in a declarations file. */
export const clientAccountSchema = z.strictObject({
  name: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/u, 'expected a lower-case name'),
  classes: z.array(z.string()).min(1),
  /** Keys as salted hashes. If the field is left out, the stored keys stay as they are. */
  keys: z.array(accessKeySchema).optional(),
});

/** A client account as declared. */
export type ClientAccountDeclaration = z.output<typeof clientAccountSchema>;

/** A client account (tenant): its access keys and the classes of work it may use. Immutable. */
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
