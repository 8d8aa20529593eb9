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

/** Returns the next change among engines of one software version, between which KV cache can be moved. */
function nextChangeOfVersion(
  engines: readonly EndpointRecord[],
  changing: ReadonlyMap<string, EngineStage>,
  prefillShare: number,
): StageChange | undefined {
  const stageOf = (engine: EndpointRecord) => changing.get(engine.identifier) ?? engine.stage;
  const prefillEngines = engines.filter((engine) => stageOf(engine) === EngineStage.Prefill);
  const decodeEngines = engines.filter((engine) => stageOf(engine) === EngineStage.Decode);
  const targetPrefillEngines = engines.length * prefillShare;
  // Streams can be resumed only at a decode engine of their version, so the last one stays.
  const needsPrefillEngine =
    prefillEngines.length < targetPrefillEngines - TOLERANCE_ENGINES && decodeEngines.length > 1;
  const hasSurplus = prefillEngines.length > targetPrefillEngines + TOLERANCE_ENGINES;
  if (!needsPrefillEngine && !hasSurplus) {
    return undefined;
  }
  const stage = needsPrefillEngine ? EngineStage.Prefill : EngineStage.Decode;
  const sign = needsPrefillEngine ? 1 : -1;
  const [engine] = (needsPrefillEngine ? decodeEngines : prefillEngines)
    .filter(({ identifier, phase }) => phase === EndpointPhase.Ready && !changing.has(identifier))
    .toSorted(
      (left, right) =>
        sign * (countInZone(prefillEngines, left.zone) - countInZone(prefillEngines, right.zone)) ||
        Number(left.isReclaimable) - Number(right.isReclaimable) ||
        (left.identifier < right.identifier ? -1 : 1),
    );
  return engine === undefined ? undefined : { engine, stage };
}

/**
 * Returns the next engine that should change its stage, if any. Each software version has the target share by
 * itself. The engine is in the zone with the fewest prefill engines if one is added, and in the zone with the
 * most if one is removed. Engines in `changing` count towards their new stage. `prefillShare` is the target
 * fraction of prefill engines.
 */
export function nextStageChange(
  engines: readonly EndpointRecord[],
  changing: ReadonlyMap<string, EngineStage>,
  prefillShare = DEFAULT_PREFILL_SHARE,
): StageChange | undefined {
  const candidates = engines.filter(
    ({ phase, stage }) => phase !== EndpointPhase.Leaving && stage !== undefined,
  );
  for (const version of new Set(candidates.map(({ softwareVersion }) => softwareVersion))) {
    const ofVersion = candidates.filter(({ softwareVersion }) => softwareVersion === version);
    const change = nextChangeOfVersion(ofVersion, changing, prefillShare);
    if (change !== undefined) {
      return change;
    }
  }
  return undefined;
}
