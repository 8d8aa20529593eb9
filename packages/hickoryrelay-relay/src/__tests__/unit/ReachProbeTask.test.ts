import { beforeEach, describe, expect, it } from 'vitest';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';

import { EndpointReach, ReachState } from '../../EndpointReach.js';
import { EndpointProber, ReachProbeTask } from '../../ReachProbeTask.js';

import type { DueProbe } from '../../EndpointReach.js';

const SERVICES = { chat: 'abc', desk: 'x' } as const;

/** Endpoints in one of three conditions, which report to the reach as a link does. */
class ScriptedProber extends EndpointProber {
  readonly tried: string[] = [];

  condition: 'open' | 'refused' | 'hanging' = 'hanging';

  private readonly reach: EndpointReach;

  constructor(reach: EndpointReach) {
    super();
    this.reach = reach;
  }

  override async probe({ service, endpoint }: DueProbe, signal: AbortSignal): Promise<boolean> {
    this.tried.push(endpoint);
    if (this.condition === 'hanging') {
      await new Promise((resolve) => {
        signal.addEventListener('abort', resolve);
      });
      return false;
    }
    if (this.condition === 'open') {
      this.reach.recordOpened(service, endpoint);
      return true;
    }
    this.reach.recordFailed(service, endpoint);
    return false;
  }
}

let clock: ManualClock;
let reach: EndpointReach;
let prober: ScriptedProber;
let task: ReachProbeTask;
let lifecycle: LifecycleManager;
let failures: unknown[];

beforeEach(() => {
  clock = new ManualClock();
  reach = new EndpointReach({ clock, random: new SeededRandomSource(1) });
  reach.setEndpoints(
    new Map(Object.entries(SERVICES).map(([service, names]) => [service, new Set(names)])),
  );
  prober = new ScriptedProber(reach);
  task = new ReachProbeTask(reach, prober);
  failures = [];
  lifecycle = new LifecycleManager('test', clock, (_, failure) => failures.push(failure));
  lifecycle.start(task);
});

describe('ReachProbeTask', () => {
  // Guards against connections to endpoints of sound services, and against a service that is not tried again.
  it('tries connections until one opens', async () => {
    await clock.advance(5000);
    expect(prober.tried).toEqual([]);
    prober.condition = 'refused';
    reach.recordFailed('desk', 'x');
    await clock.advance(2000);
    expect(task.counts).toEqual({ opened: 0, failed: 4 });
    expect(reach.stateOf('desk')).toBe(ReachState.Unreachable);
    prober.condition = 'open';
    await clock.advance(600);
    expect(reach.stateOf('desk')).toBe(ReachState.Returning);
    await clock.advance(5000);
    expect(task.counts).toEqual({ opened: 1, failed: 4 });
    expect(reach.stateOf('desk')).toBe(ReachState.Reachable);
    await lifecycle.stop();
  });

  // Guards against a connection that hangs and keeps other services unreachable, or the process from stopping.
  it('tries other services and stops while a connection hangs', async () => {
    reach.recordFailed('desk', 'x');
    await clock.advance(100);
    prober.condition = 'open';
    reach.recordFailed('chat', 'a');
    await clock.advance(100);
    expect(prober.tried.slice(1).toSorted()).toEqual(['b', 'c']);
    await lifecycle.stop();
    expect(task.counts).toEqual({ opened: 2, failed: 0 });
    expect(failures).toEqual([]);
  });
});
