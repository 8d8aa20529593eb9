import { z } from 'zod';

/** Whether a class of work is served by a model engine or by a plain service. */
export const WorkKind = { Model: 'model', Service: 'service' } as const;

export type WorkKind = (typeof WorkKind)[keyof typeof WorkKind];

const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9-]{0,62}$/u,
    'expected 1 to 63 lower-case letters, digits or hyphens, not starting with a hyphen',
  );

const latenessSchema = z.strictObject({
  /** Time from the arrival of a call to the first token, in milliseconds. */
  firstTokenMilliseconds: z.number().int().positive().optional(),
  /** Time between two tokens, in milliseconds. */
  betweenTokensMilliseconds: z.number().int().positive().optional(),
  /** Time from the arrival of a call to the end of the response, in milliseconds. */
  completionMilliseconds: z.number().int().positive().optional(),
});

const targetsSchema = z.strictObject({
  lateness: latenessSchema,
  /** Fraction of calls that may be rejected or fail, from 0 to 1. */
  loss: z.number().min(0).max(1),
  /** Maximum cost of 1,000 tokens or of one service call, in units of the budget. */
  cost: z.number().positive(),
});

/** Schema of a class of work in a declarations file. */
export const classOfWorkSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    name: nameSchema,
    kind: z.literal(WorkKind.Model),
    models: z.array(z.string().min(1)).min(1),
    targets: targetsSchema,
  }),
  z.strictObject({
    name: nameSchema,
    kind: z.literal(WorkKind.Service),
    route: nameSchema,
    idempotent: z.boolean(),
    open: z.boolean().default(false),
    targets: targetsSchema,
  }),
]);

/** A class of work as declared. */
export type ClassOfWorkDeclaration = z.output<typeof classOfWorkSchema>;

/** The service targets of a class of work. */
export type ClassTargets = z.output<typeof targetsSchema>;

const DEFAULT_FIRST_TOKEN_MILLISECONDS = 10_000;
const DEFAULT_COMPLETION_MILLISECONDS = 30_000;

/** A service contract: the models or route that serve a class of work, and its targets. Immutable. */
export class ClassOfWork {
  readonly name: string;

  readonly kind: WorkKind;

  readonly targets: ClassTargets;

  private readonly declaration: ClassOfWorkDeclaration;

  constructor(declaration: ClassOfWorkDeclaration) {
    this.declaration = declaration;
    this.name = declaration.name;
    this.kind = declaration.kind;
    this.targets = declaration.targets;
  }

  /** The route of a plain service; undefined if the class is served by models. */
  get route(): string | undefined {
    return this.declaration.kind === WorkKind.Service ? this.declaration.route : undefined;
  }

  /** Whether a call may safely run more than once. Model calls always may. */
  get isIdempotent(): boolean {
    return this.declaration.kind === WorkKind.Model || this.declaration.idempotent;
  }

  /** Whether calls are accepted without an access key. */
  get allowsAnonymous(): boolean {
    return this.declaration.kind === WorkKind.Service && this.declaration.open;
  }

  /** Time within which the caller must receive the first byte of the response, in milliseconds. */
  get latenessTargetMilliseconds(): number {
    const { firstTokenMilliseconds, completionMilliseconds } = this.targets.lateness;
    if (this.kind === WorkKind.Model) {
      return firstTokenMilliseconds ?? completionMilliseconds ?? DEFAULT_FIRST_TOKEN_MILLISECONDS;
    }
    return completionMilliseconds ?? DEFAULT_COMPLETION_MILLISECONDS;
  }

  servesModel(model: string): boolean {
    return this.declaration.kind === WorkKind.Model && this.declaration.models.includes(model);
  }

  get models(): readonly string[] {
    return this.declaration.kind === WorkKind.Model ? this.declaration.models : [];
  }
}
