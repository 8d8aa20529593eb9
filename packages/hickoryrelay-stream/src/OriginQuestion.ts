import { hasVersion, OriginAnswerKind } from './OriginAnswer.js';

import type { OriginAnswer } from './OriginAnswer.js';
import type { SoftwareVersion } from './SoftwareVersion.js';

/** What names the version that began a stream. */
export const OriginSource = {
  OwnRecord: 'own-record',
  OwnHistory: 'own-history',
  /** The record of another instance. */
  OtherRecord: 'other-record',
  /** The settled history of another instance. */
  OtherHistory: 'other-history',
  /** All instances have seen one version only, and the caller names no attempt. */
  Unanimous: 'unanimous',
} as const;

export type OriginSource = (typeof OriginSource)[keyof typeof OriginSource];

/** The service and the version that began a stream. */
export interface StreamOrigin {
  readonly service: string;
  readonly version: SoftwareVersion;
  readonly source: OriginSource;
}

/**
 * Returns the version that answers without a record agree on. Those of histories that are not settled name none, as
 * another version may have left before.
 */
function agreedOrigin(answers: Iterable<OriginAnswer>): Omit<StreamOrigin, 'service'> | undefined {
  const versions = new Set<SoftwareVersion>();
  let isSettled = false;
  for (const answer of answers) {
    switch (answer.kind) {
      case OriginAnswerKind.Sole:
      case OriginAnswerKind.SettledSole:
        versions.add(answer.version);
        isSettled ||= answer.kind === OriginAnswerKind.SettledSole;
        break;
      case OriginAnswerKind.Unseen:
        break;
      default:
        return undefined;
    }
  }
  const [version] = versions;
  return versions.size === 1 && isSettled
    ? { version, source: OriginSource.OtherHistory }
    : undefined;
}

/** Returns whether the answer neither names another version nor says that there are several. */
function allows(answer: OriginAnswer, version: SoftwareVersion): boolean {
  return (
    answer.kind === OriginAnswerKind.Unseen || (hasVersion(answer) && answer.version === version)
  );
}

/** A question to other instances about the version that began a stream. */
export class OriginQuestion {
  readonly key: number;

  readonly service: string;

  /** Fingerprint of the routes for which the histories of other instances count. Undefined if they all do. */
  readonly routes: number | undefined;

  /** Resolves once the question is decided. Undefined if the version is unknown. */
  readonly outcome: Promise<StreamOrigin | undefined>;

  /** Only the first call decides. */
  private resolve: (origin: StreamOrigin | undefined) => void = () => {};

  private readonly own: OriginAnswer;

  /** Answers by the name of the instance. */
  private readonly answers = new Map<string, OriginAnswer>();

  private asked: readonly string[] | undefined;

  private areAllAsked = false;

  /** @param own What this instance knows. */
  constructor(key: number, service: string, own: OriginAnswer, routes?: number) {
    this.key = key;
    this.service = service;
    this.own = own;
    this.routes = routes;
    this.outcome = new Promise((resolve) => {
      this.resolve = resolve;
    });
  }

  /** Returns whether the instance has answered. */
  hasAnswerOf(instance: string): boolean {
    return this.answers.has(instance);
  }

  /**
   * Sets the instances that are asked. The question is decided when all of them have answered.
   *
   * @param areAllOthers True if these are all other instances that are registered.
   */
  expect(instances: readonly string[], areAllOthers: boolean): void {
    this.asked = instances;
    this.areAllAsked = areAllOthers;
    this.concludeIfComplete();
  }

  /** Takes the answer of another instance. A record decides the question at once. */
  receive(instance: string, answer: OriginAnswer): void {
    this.answers.set(instance, answer);
    this.decideByRecord(answer);
    this.concludeIfComplete();
  }

  /** Decides the question if the answer is from a record. */
  decideByRecord(answer: OriginAnswer): void {
    if (answer.kind === OriginAnswerKind.Known) {
      this.resolve({
        service: this.service,
        version: answer.version,
        source: OriginSource.OtherRecord,
      });
    } else if (answer.kind === OriginAnswerKind.Conflicting) {
      this.resolve(undefined);
    }
  }

  /** Decides the question with the answers there are. */
  conclude(): void {
    const agreed = agreedOrigin([this.own, ...this.answers.values()]);
    this.resolve(agreed === undefined ? undefined : { service: this.service, ...agreed });
  }

  /**
   * True if no other instance can name another version for a stream that begins at this one: one of them is settled, or
   * all of them have answered, and none has seen another version. Without any other instance in the list, the
   * registrations of the others may have lapsed.
   */
  isUnanimousOn(version: SoftwareVersion): boolean {
    const answers = [...this.answers.values()];
    const hasEvidence =
      answers.some(({ kind }) => kind === OriginAnswerKind.SettledSole) ||
      (this.areAllAsked && this.isComplete && answers.length > 0);
    return hasEvidence && answers.every((answer) => allows(answer, version));
  }

  private get isComplete(): boolean {
    return this.asked?.every((instance) => this.answers.has(instance)) === true;
  }

  private concludeIfComplete(): void {
    if (this.isComplete) {
      this.conclude();
    }
  }
}
