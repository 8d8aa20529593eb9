import { beforeEach, describe, expect, it } from 'vitest';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { splitIntoBuckets } from 'hickoryrelay-contract/ConfigurationBucket';
import { ConfigurationStore } from 'hickoryrelay-platform/ConfigurationStore';
import { sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';
import { MemoryKeyValueStore, MemoryPlatform } from 'hickoryrelay-standin/MemoryPlatform';

import { ConfigurationRecovery } from '../../ConfigurationRecovery.js';
import { ConfigurationUpdater } from '../../ConfigurationUpdater.js';
import { ConfigurationView } from '../../ConfigurationView.js';
import type { Configuration } from 'hickoryrelay-platform/ConfigurationStore';

function configurationOf(revision: number): Configuration {
  const document = sampleDeclarations();
  document.budget.costPerHour = revision;
  const { texts, digests } = splitIntoBuckets(document);
  return { head: { revision, digests }, texts };
}

const NOTE = { author: 'operator', summary: 'change', wallMilliseconds: 0 };

// Guards against instances that return to an older revision, for example after a restart, and against
// corrupt or invalid configurations.
describe('the configuration updater', () => {
  let clock: ManualClock;
  let platform: MemoryPlatform;
  let view: ConfigurationView;
  let updater: ConfigurationUpdater;

  beforeEach(() => {
    clock = new ManualClock();
    platform = new MemoryPlatform(clock);
    view = new ConfigurationView(clock);
    const store = new ConfigurationStore(new MemoryKeyValueStore(platform, 'entry', clock));
    const log = silentLogger;
    const recovery = new ConfigurationRecovery({ view, store, clock, log, author: 'entry' });
    updater = new ConfigurationUpdater(view, store, clock, log, recovery);
  });

  /** Advances the clock, so that the store's simulated delays pass, and returns the result. */
  async function waitFor<Result>(pending: Promise<Result>): Promise<Result> {
    await clock.advance(10_000);
    return pending;
  }

  /** Writes a revision to the platform, as an operator does. */
  async function apply(revision: number): Promise<void> {
    const operator = new ConfigurationStore(new MemoryKeyValueStore(platform, 'operator', clock));
    const document = sampleDeclarations();
    document.budget.costPerHour = revision;
    await waitFor(operator.replace(document, revision - 1, NOTE));
  }

  it('never activates an older revision, from whatever source', async () => {
    await apply(1);
    await waitFor(updater.readPlatform());
    expect(updater.submit(configurationOf(5))).toBe(true);
    updater.submit(configurationOf(4));
    expect(view.activate(configurationOf(4))).toBe(false);
    await waitFor(updater.fetch(configurationOf(3).head));
    await waitFor(updater.readPlatform());
    expect(view.revision).toBe(5);
  });

  // A slow response would otherwise make the age of the view too low.
  it('counts the age of the view from the time of the request', async () => {
    await apply(1);
    platform.responseDelayMilliseconds = 900;
    const reading = updater.readPlatform();
    await clock.advance(900);
    await clock.advance(900);
    await reading;
    expect(view.revision).toBe(1);
    expect(view.ageMilliseconds).toBeGreaterThanOrEqual(1800);
  });

  it('ignores the confirmation of another revision', () => {
    view.activate(configurationOf(5));
    view.confirm(4, 0);
    view.confirm(6, 0);
    expect(view.ageMilliseconds).toBe(Infinity);
  });

  it('holds configurations from peers at start until the platform has responded', async () => {
    await apply(1);
    await apply(2);
    updater.submit(configurationOf(1));
    expect(view.revision).toBe(0);
    await waitFor(updater.readPlatform());
    expect(view.revision).toBe(2);
  });

  it('waits for peers at start if the platform is unreachable, and activates the newest', async () => {
    platform.isUnavailable = true;
    await waitFor(updater.readPlatform());
    updater.submit(configurationOf(1));
    updater.completeStartupWithoutPlatform(1);
    expect(view.revision).toBe(0);
    await clock.advance(1000);
    updater.submit(configurationOf(2));
    await clock.advance(1000);
    updater.completeStartupWithoutPlatform(3);
    expect(view.revision).toBe(0);
    updater.completeStartupWithoutPlatform(2);
    expect(view.revision).toBe(2);
  });

  it.each([
    ['a bucket that does not match its digest', { 7: '[]  ' }],
    ['a bucket that is not a list of entries', { 7: '{}' }],
    ['a missing bucket', { 7: undefined }],
  ])('refuses and counts a configuration with %s', async (fault, changes) => {
    await apply(1);
    await waitFor(updater.readPlatform());
    const { head, texts } = configurationOf(2);
    const damaged = Object.assign([...texts], changes) as string[];
    expect(updater.submit({ head, texts: damaged })).toBe(false);
    expect([view.revision, updater.refusedCount]).toEqual([1, 1]);
  });

  it('refuses a complete configuration with invalid declarations', async () => {
    const document = sampleDeclarations();
    document.accounts[0]?.classes.push('no-such-class');
    const { texts, digests } = splitIntoBuckets(document);
    expect(updater.submit({ head: { revision: 1, digests }, texts })).toBe(false);
    expect([view.revision, updater.refusedCount]).toEqual([0, 1]);
  });
});
