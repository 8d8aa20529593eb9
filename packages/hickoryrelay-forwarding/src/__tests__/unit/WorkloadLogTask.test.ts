import { describe, expect, it } from 'vitest';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { EndpointRegistry } from 'hickoryrelay-forwarding/EndpointRegistry';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';
import { WorkloadLogTask } from 'hickoryrelay-forwarding/WorkloadLogTask';

import { makeEndpoint, RecordingLogger } from './ForwardingFixture.js';

const ENDPOINTS = 12;

describe('WorkloadLogTask', () => {
  // Guards against a line for each observation, and against speeds that operators cannot see.
  it('logs changed speeds in one line, and nothing while they stay the same', async () => {
    const clock = new ManualClock();
    const log = new RecordingLogger();
    const registry = new EndpointRegistry(new PeerLoads());
    registry.replace(
      Array.from({ length: ENDPOINTS }, (_unused, index) => makeEndpoint(`engine-${index}`)),
    );
    new LifecycleManager('test', clock, () => {}).start(new WorkloadLogTask(registry, log));
    const states = registry.readyEndpoints('desk');
    const observe = async (seconds: number) => {
      for (let second = 0; second < seconds; second += 1) {
        const now = clock.monotonicMilliseconds();
        states.forEach(({ hash }, index) => {
          registry.workload.recordPrefill(hash, 8000, index === 0 ? 341 : 208, now);
        });
        await clock.advance(1000);
      }
    };
    await clock.advance(30_000);
    expect(log.lines).toHaveLength(0);
    await observe(40);
    expect(log.lines).toHaveLength(1);
    expect(log.lines[0]).toMatchObject({
      sentence: 'The learned speeds of endpoints have changed.',
      changed: 1,
      learned: ENDPOINTS,
      default: 0,
    });
    expect(log.lines[0]?.endpoints).toMatch(/^engine-0=0\.6/u);
  });
});
