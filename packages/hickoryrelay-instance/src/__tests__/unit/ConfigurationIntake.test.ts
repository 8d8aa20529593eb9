import { beforeEach, describe, expect, it } from 'vitest';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { bucketsOf } from 'hickoryrelay-contract/ConfigurationBucket';
import { ConfigurationStore } from 'hickoryrelay-platform/ConfigurationStore';
import { sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';
import { MemoryKeyValueStore, MemoryPlatform } from 'hickoryrelay-standin/MemoryPlatform';

import { ConfigurationIntake } from '../../ConfigurationIntake.js';
import { ConfigurationView } from '../../ConfigurationView.js';
import type { Configuration } from 'hickoryrelay-platform/ConfigurationStore';

function configurationOf(revision: number): Configuration {
  const document = sampleDeclarations();
  document.budget.costPerHour = revision;
  const { texts, digests } = bucketsOf(document);
  return { head: { revision, digests }, texts };
}

const NOTE = { author: 'operator', summary: 'change', wallMilliseconds: 0 };

describe('the intake of configurations', () => {
  let clock: ManualClock;
  let platform: MemoryPlatform;
  let view: ConfigurationView;
  let intake: ConfigurationIntake;

  beforeEach(() => {
    clock = new ManualClock();
    platform = new MemoryPlatform(clock);
    view = new ConfigurationView(clock);
    const store = new ConfigurationStore(new MemoryKeyValueStore(platform, 'entry', clock));
    intake = new ConfigurationIntake(view, store, clock, silentLogger);
  });

  async function finish<Result>(work: Promise<Result>): Promise<Result> {
    await clock.advance(10_000);
    return work;
  }

  async function apply(revision: number): Promise<void> {
    const operator = new ConfigurationStore(new MemoryKeyValueStore(platform, 'operator', clock));
    const document = sampleDeclarations();
    document.budget.costPerHour = revision;
    await finish(operator.replace(document, revision - 1, NOTE));
  }

  it('never goes back, whoever offers an older revision', async () => {
    await apply(1);
    await finish(intake.readPlatform());
    expect(intake.offer(configurationOf(5))).toBe(true);
    intake.offer(configurationOf(4));
    expect(view.take(configurationOf(4))).toBe(false);
    await finish(intake.fetch(configurationOf(3).head));
    await finish(intake.readPlatform());
    expect(view.revision).toBe(5);
  });

  it('counts the age of the view from before the question', async () => {
    await apply(1);
    platform.answerDelayMilliseconds = 900;
    const reading = intake.readPlatform();
    await clock.advance(900);
    await clock.advance(900);
    await reading;
    expect(view.revision).toBe(1);
    expect(view.ageMilliseconds).toBeGreaterThanOrEqual(1800);
  });

  it('takes no confirmation of another revision', () => {
    view.take(configurationOf(5));
    view.confirm(4, 0);
    view.confirm(6, 0);
    expect(view.ageMilliseconds).toBe(Infinity);
  });

  it('holds peers back after a start until the platform has answered', async () => {
    await apply(1);
    await apply(2);
    intake.offer(configurationOf(1));
    expect(view.revision).toBe(0);
    await finish(intake.readPlatform());
    expect(view.revision).toBe(2);
  });

  it('gives peers time after a start without the platform, and takes the newest', async () => {
    platform.isOut = true;
    await finish(intake.readPlatform());
    intake.offer(configurationOf(1));
    intake.settleWithoutPlatform(1);
    expect(view.revision).toBe(0);
    await clock.advance(1000);
    intake.offer(configurationOf(2));
    await clock.advance(1000);
    intake.settleWithoutPlatform(3);
    expect(view.revision).toBe(0);
    intake.settleWithoutPlatform(2);
    expect(view.revision).toBe(2);
  });

  it.each([
    ['a bucket that does not match its digest', { 7: '[]  ' }],
    ['a bucket that is not a list of entries', { 7: '{}' }],
    ['no bucket at one place', { 7: undefined }],
  ])('refuses and counts a configuration with %s', async (fault, changes) => {
    await apply(1);
    await finish(intake.readPlatform());
    const { head, texts } = configurationOf(2);
    const damaged = Object.assign([...texts], changes) as string[];
    expect(intake.offer({ head, texts: damaged })).toBe(false);
    expect([view.revision, intake.refusedCount]).toEqual([1, 1]);
  });

  it('refuses a whole configuration that is not valid', async () => {
    const document = sampleDeclarations();
    document.accounts[0]?.classes.push('no-such-class');
    const { texts, digests } = bucketsOf(document);
    expect(intake.offer({ head: { revision: 1, digests }, texts })).toBe(false);
    expect([view.revision, intake.refusedCount]).toEqual([0, 1]);
  });
});
