import { z } from 'zod';

/** What a class of work is sent to: a model engine or a plain service. */
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
  /** Time from the arrival of a call to the end of the answer, in milliseconds. */
  completionMilliseconds: z.number().int().positive().optional(),
});

const targetsSchema = z.strictObject({
  lateness: latenessSchema,
  /** Share of calls that may be refused or fail, from 0 to 1. */
  loss: z.number().min(0).max(1),
  /** Highest cost of a thousand tokens or of one service call, in units of the budget. */
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

/** The targets of a class of work. Times in milliseconds, loss as a share, cost in budget units. */
export type ClassTargets = z.output<typeof targetsSchema>;

const DEFAULT_FIRST_TOKEN_MILLISECONDS = 10_000;
const DEFAULT_COMPLETION_MILLISECONDS = 30_000;

/** A contract for one kind of work: what it may be sent to, and its targets. Immutable. */
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

  /** The route of a plain service; undefined for a class of model work. */
  get route(): string | undefined {
    return this.declaration.kind === WorkKind.Service ? this.declaration.route : undefined;
  }

  /** True if a call may run more than once without harm. Model calls may. */
  get isIdempotent(): boolean {
    return this.declaration.kind === WorkKind.Model || this.declaration.idempotent;
  }

  /** True if calls need no access key. */
  get isOpen(): boolean {
    return this.declaration.kind === WorkKind.Service && this.declaration.open;
  }

  /** Time until the caller must have the first byte of the answer, in milliseconds. */
  get latenessMilliseconds(): number {
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
