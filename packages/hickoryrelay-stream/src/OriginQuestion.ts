import { OriginAnswerKind } from './OriginAnswer.js';

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
  /** All other instances were asked and have seen no other version. */
  Unanimous: 'unanimous',
} as const;

export type OriginSource = (typeof OriginSource)[keyof typeof OriginSource];

/** The version that began a stream. */
export interface StreamOrigin {
  readonly version: SoftwareVersion;
  readonly source: OriginSource;
}

/** Returns the version that answers without a record agree on. */
function agreedOrigin(
  answers: readonly OriginAnswer[],
  isComplete: boolean,
): StreamOrigin | undefined {
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
  if (versions.size !== 1 || !(isSettled || isComplete)) {
    return undefined;
  }
  return { version, source: isSettled ? OriginSource.OtherHistory : OriginSource.Unanimous };
}

/** A question to other instances about the version that began a stream. */
export class OriginQuestion {
  readonly key: number;

  readonly service: string;

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
  constructor(key: number, service: string, own: OriginAnswer) {
    this.key = key;
    this.service = service;
    this.own = own;
    this.outcome = new Promise((resolve) => {
      this.resolve = resolve;
    });
  }

  /** Returns whether the instance has answered. */
  hasAnswerOf(instance: string): boolean {
    return this.answers.has(instance);
  }

  /**
   * Sets the instances that are asked. The question is decided when all of them have answered. Unless they are all
   * other instances, only a record or a settled one names a version: one that is not asked may have seen another.
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
      this.resolve({ version: answer.version, source: OriginSource.OtherRecord });
    } else if (answer.kind === OriginAnswerKind.Conflicting) {
      this.resolve(undefined);
    }
  }

  /** Decides the question with the answers there are. */
  conclude(): void {
    const isUnanimous = this.isComplete && this.areAllAsked;
    this.resolve(agreedOrigin([this.own, ...this.answers.values()], isUnanimous));
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
