import { expect, it } from 'vitest';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { silentLogger } from 'hickoryrelay/Logger';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { InstanceRateLimitShares } from 'hickoryrelay-forwarding/InstanceRateLimitShares';
import { retryDelayOf, ViewRefreshTask } from 'hickoryrelay-forwarding/ViewRefreshTask';
import { ViewSource } from 'hickoryrelay-forwarding/ViewSource';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';
import { EndpointReach } from 'hickoryrelay-relay/EndpointReach';
import { RelayTargets } from 'hickoryrelay-relay/RelayTargets';
import { ViewReadStatistics } from 'hickoryrelay-view/ViewReadStatistics';

import { makeHarness } from './ForwardingFixture.js';

import type { ViewReadResult } from 'hickoryrelay-forwarding/ViewSource';

const PERIOD_MILLISECONDS = 800;

/** Reads that find nothing, and whether the store itself had to answer them. */
class RecordedReads extends ViewSource {
  readonly areFresh: boolean[] = [];

  override async read(mustBeFresh = false): Promise<ViewReadResult> {
    this.areFresh.push(mustBeFresh);
    return {
      snapshot: { configuration: undefined, endpoints: [], peers: [], isAuthorityHeld: false },
      revision: StoreRevision.None,
      maximumRevision: StoreRevision.None,
      ageMilliseconds: 0,
      periodFraction: 1,
    };
  }
}

// Guards against requests that an instance handles by an older configuration than another one has for it.
it('reads the store itself at once when a newer configuration is known', async () => {
  const { clock, view, registry, link, budgets, origins } = makeHarness();
  const random = new SeededRandomSource(1);
  const self = { instance: 'instance-1', zone: 'zone-a' };
  const source = new RecordedReads();
  const task = new ViewRefreshTask({
    source,
    view,
    registry,
    link,
    budgets,
    origins,
    shares: new InstanceRateLimitShares(self.instance, clock),
    reach: new EndpointReach({ clock, random }),
    targets: new RelayTargets({ self, clock, random }),
    periodMilliseconds: PERIOD_MILLISECONDS,
    statistics: new ViewReadStatistics(),
    log: silentLogger,
  });
  const lifecycle = new LifecycleManager('instance', clock, () => {});
  lifecycle.start(task);
  await clock.advance(PERIOD_MILLISECONDS / 2);
  task.requestRefresh();
  await clock.advance(1);
  await clock.advance(PERIOD_MILLISECONDS);
  expect(source.areFresh).toEqual([false, true, false]);
  await lifecycle.stop();
});

// Guards against calls of all instances that multiply with the fleet while the store is down.
it.each([
  { instances: 0, milliseconds: 250 },
  { instances: 8, milliseconds: 250 },
  { instances: 30, milliseconds: 500 },
  { instances: 60, milliseconds: 1000 },
  { instances: 640, milliseconds: 1000 },
])('repeats a failed read of $instances instances after $milliseconds ms', (each) => {
  expect(retryDelayOf(each.instances)).toBe(each.milliseconds);
});
