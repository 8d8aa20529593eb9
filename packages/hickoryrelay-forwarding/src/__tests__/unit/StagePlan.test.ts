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

describe('nextStageChange', () => {
  // Guards against stage changes that overshoot the target or go back and forth.
  it('reaches the target share one change at a time from any start, and then stops', () => {
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
          const prefillCount = engines.filter(({ stage }) => stage === EngineStage.Prefill).length;
          expect(Math.abs(prefillCount - engines.length * 0.45)).toBeLessThanOrEqual(1);
        },
      ),
    );
  });

  // Guards against a second order to an engine whose stage change is still in progress.
  it('counts an engine in transition towards its new stage', () => {
    const engines = enginesOf(Array<EngineStage>(6).fill(EngineStage.Decode));
    const first = nextStageChange(engines, new Map());
    const changing = new Map([[first?.engine.identifier ?? '', EngineStage.Prefill]]);
    const second = nextStageChange(engines, changing);
    expect(second?.engine.identifier).not.toBe(first?.engine.identifier);
  });

  // Guards against streams of a software version that no decode engine is left to resume.
  it('leaves the last decode engine of each software version', () => {
    const engines = enginesOf(Array<EngineStage>(4).fill(EngineStage.Decode));
    const ofVersions = (...versions: string[]) =>
      engines.map((engine, index) => ({ ...engine, softwareVersion: versions[index] as string }));
    const changeOf = (...versions: string[]) => nextStageChange(ofVersions(...versions), new Map());
    expect(changeOf('v1', 'v2', 'v2', 'v2')?.engine.softwareVersion).toBe('v2');
    expect(changeOf('v1', 'v2', 'v3', 'v4')).toBeUndefined();
  });

  // Guards against a version with few decode engines left after a release, whose streams cannot be resumed.
  it('gives each software version the target share by itself', () => {
    const stages = ['prefill', 'prefill', 'prefill', 'prefill', 'decode', 'decode'] as const;
    const engines = [
      ...enginesOf(stages).map((engine) => ({ ...engine, softwareVersion: 'v1' })),
      ...enginesOf(Array<EngineStage>(6).fill(EngineStage.Decode)).map((engine) => ({
        ...engine,
        identifier: `${engine.identifier}-new`,
        softwareVersion: 'v2',
      })),
    ];
    const [changed, next] = [new Map(), new Map([['engine-0', EngineStage.Decode]])].map(
      (changing) => nextStageChange(engines, changing, 1 / 3),
    );
    expect(changed).toMatchObject({ engine: { softwareVersion: 'v1' }, stage: EngineStage.Decode });
    expect(next?.engine.softwareVersion).toBe('v1');
  });
});
