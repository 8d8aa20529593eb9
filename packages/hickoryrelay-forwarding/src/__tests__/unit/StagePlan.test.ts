import fastCheck from 'fast-check';
import { describe, expect, it } from 'vitest';
import { EngineStage } from 'hickoryrelay-forwarding/EndpointRecord';
import { nextStageChange } from 'hickoryrelay-forwarding/StagePlan';

import { makeEndpoint } from './ForwardingFixture.js';

function enginesOf(stages: readonly EngineStage[]) {
  return stages.map((stage, index) =>
    makeEndpoint(`engine-${index}`, { service: 'model', stage, zone: `zone-${index % 3}` }),
  );
}

describe('the plan of stages', () => {
  it('reaches its share by one change at a time and then rests, from any start', () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.array(fastCheck.constantFrom(...Object.values(EngineStage)), { maxLength: 40 }),
        (stages) => {
          let engines = enginesOf(stages);
          let changes = 0;
          for (;;) {
            const change = nextStageChange(engines, new Map());
            if (change === undefined) {
              break;
            }
            changes += 1;
            expect(changes).toBeLessThanOrEqual(stages.length);
            engines = engines.map((engine) =>
              engine === change.engine ? { ...engine, stage: change.stage } : engine,
            );
          }
          const readers = engines.filter(({ stage }) => stage === EngineStage.Prefill).length;
          expect(Math.abs(readers - engines.length * 0.45)).toBeLessThanOrEqual(1);
        },
      ),
    );
  });

  it('counts an engine under way as what it changes to', () => {
    const engines = enginesOf(Array<EngineStage>(6).fill(EngineStage.Decode));
    const first = nextStageChange(engines, new Map());
    const changing = new Map([[first?.engine.identifier ?? '', EngineStage.Prefill]]);
    const second = nextStageChange(engines, changing);
    expect(second?.engine.identifier).not.toBe(first?.engine.identifier);
  });
});
