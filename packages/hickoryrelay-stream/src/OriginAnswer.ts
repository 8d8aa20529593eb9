import type { SoftwareVersion } from './SoftwareVersion.js';

/** What an instance knows about the version that began a stream. */
export const OriginAnswerKind = {
  /** It has the record of the stream. */
  Known: 0,
  /** Streams of several versions have begun under the identifier. */
  Conflicting: 1,
  /** It has no record, but has seen only one version of the service. */
  Sole: 2,
  /** As `Sole`, and for long enough that the stream cannot have begun at another version. */
  SettledSole: 3,
  /** It has no record and has seen several versions of the service. */
  Mixed: 4,
  /** It has no record and has seen no engine of the service. */
  Unseen: 5,
} as const;

export type OriginAnswerKind = (typeof OriginAnswerKind)[keyof typeof OriginAnswerKind];

export type OriginAnswer =
  | {
      readonly kind:
        | typeof OriginAnswerKind.Known
        | typeof OriginAnswerKind.Sole
        | typeof OriginAnswerKind.SettledSole;
      readonly version: SoftwareVersion;
    }
  | {
      readonly kind:
        | typeof OriginAnswerKind.Conflicting
        | typeof OriginAnswerKind.Mixed
        | typeof OriginAnswerKind.Unseen;
    };

/** Returns whether the answer names a version. */
export function hasVersion(
  answer: OriginAnswer,
): answer is Extract<OriginAnswer, { version: SoftwareVersion }> {
  return 'version' in answer;
}

/** Returns the answer without the claim that the stream cannot have begun at another version. */
export function unsettled(answer: OriginAnswer): OriginAnswer {
  return answer.kind === OriginAnswerKind.SettledSole
    ? { kind: OriginAnswerKind.Sole, version: answer.version }
    : answer;
}
