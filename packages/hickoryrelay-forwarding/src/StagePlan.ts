import { DEFAULT_PREFILL_SHARE } from 'hickoryrelay-supply/StageShare';

import { EndpointPhase, EngineStage } from './EndpointRecord.js';

import type { EndpointRecord } from './EndpointRecord.js';

/** No stage is changed while the number of prefill engines is this close to the target. */
const TOLERANCE_ENGINES = 0.75;

export interface StageChange {
  readonly engine: EndpointRecord;
  readonly stage: EngineStage;
}

function countInZone(engines: readonly EndpointRecord[], zone: string): number {
  return engines.filter((engine) => engine.zone === zone).length;
}

/** Leaves out the only engine of a software version, at which alone streams of that version can be resumed. */
function withoutLastOfVersion(engines: readonly EndpointRecord[]): readonly EndpointRecord[] {
  return engines.filter(({ identifier, softwareVersion }) =>
    engines.some(
      (other) => other.identifier !== identifier && other.softwareVersion === softwareVersion,
    ),
  );
}

/**
 * Returns the next engine that should change its stage, if any. It is in the zone with the fewest
 * prefill engines if one is added, and in the zone with the most if one is removed. Engines in
 * `changing` count towards their new stage. `prefillShare` is the target fraction of prefill engines.
 */
export function nextStageChange(
  engines: readonly EndpointRecord[],
  changing: ReadonlyMap<string, EngineStage>,
  prefillShare = DEFAULT_PREFILL_SHARE,
): StageChange | undefined {
  const candidates = engines.filter(
    ({ phase, stage }) => phase !== EndpointPhase.Leaving && stage !== undefined,
  );
  const stageOf = (engine: EndpointRecord) => changing.get(engine.identifier) ?? engine.stage;
  const prefillEngines = candidates.filter((engine) => stageOf(engine) === EngineStage.Prefill);
  const decodeEngines = candidates.filter((engine) => stageOf(engine) === EngineStage.Decode);
  const targetPrefillEngines = candidates.length * prefillShare;
  const needsPrefillEngine = prefillEngines.length < targetPrefillEngines - TOLERANCE_ENGINES;
  const hasSurplus = prefillEngines.length > targetPrefillEngines + TOLERANCE_ENGINES;
  if (!needsPrefillEngine && !hasSurplus) {
    return undefined;
  }
  const stage = needsPrefillEngine ? EngineStage.Prefill : EngineStage.Decode;
  const sign = needsPrefillEngine ? 1 : -1;
  const [engine] = (needsPrefillEngine ? withoutLastOfVersion(decodeEngines) : prefillEngines)
    .filter(({ identifier, phase }) => phase === EndpointPhase.Ready && !changing.has(identifier))
    .toSorted(
      (left, right) =>
        sign * (countInZone(prefillEngines, left.zone) - countInZone(prefillEngines, right.zone)) ||
        Number(left.isReclaimable) - Number(right.isReclaimable) ||
        (left.identifier < right.identifier ? -1 : 1),
    );
  return engine === undefined ? undefined : { engine, stage };
}
