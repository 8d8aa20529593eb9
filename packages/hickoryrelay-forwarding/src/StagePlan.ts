import { EndpointPhase, EngineStage } from './EndpointRecord.js';

import type { EndpointRecord } from './EndpointRecord.js';

/**
 * Part of the engines that read prompts for the others. The mix of long prompts and long answers
 * turns over faster than an engine changes its stage, so the part fits the mean of both.
 */
const READING_PART = 0.45;

/** A deviation of this many engines is left alone. */
const TOLERANCE = 0.75;

/** A change of one engine's stage. */
export interface StageChange {
  readonly engine: EndpointRecord;
  readonly stage: EngineStage;
}

function countIn(engines: readonly EndpointRecord[], zone: string): number {
  return engines.filter((engine) => engine.zone === zone).length;
}

/**
 * Decides which engine should change its stage next, if any: one in the zone that has the fewest
 * (or the most) readers. Engines in `changing` count as what they change to.
 */
export function nextStageChange(
  engines: readonly EndpointRecord[],
  changing: ReadonlyMap<string, EngineStage>,
): StageChange | undefined {
  const ready = engines.filter(
    ({ phase, stage }) => phase !== EndpointPhase.Leaving && stage !== undefined,
  );
  const stageOf = (engine: EndpointRecord) => changing.get(engine.identifier) ?? engine.stage;
  const readers = ready.filter((engine) => stageOf(engine) === EngineStage.Prefill);
  const decoders = ready.filter((engine) => stageOf(engine) === EngineStage.Decode);
  const wanted = ready.length * READING_PART;
  const needsReader = readers.length < wanted - TOLERANCE;
  const hasSpare = readers.length > wanted + TOLERANCE;
  if (!needsReader && !hasSpare) {
    return undefined;
  }
  const stage = needsReader ? EngineStage.Prefill : EngineStage.Decode;
  const sign = needsReader ? 1 : -1;
  const [engine] = (needsReader ? decoders : readers)
    .filter(({ identifier, phase }) => phase === EndpointPhase.Ready && !changing.has(identifier))
    .toSorted(
      (left, right) =>
        sign * (countIn(readers, left.zone) - countIn(readers, right.zone)) ||
        Number(left.isReclaimable) - Number(right.isReclaimable) ||
        (left.identifier < right.identifier ? -1 : 1),
    );
  return engine === undefined ? undefined : { engine, stage };
}
