import { afterEach, describe, expect, test } from 'vitest';
import { unconfirmedVersion } from 'hickoryrelay-stream/SoftwareVersion';

import { BOUND_MILLISECONDS, SERVICE, StreamOriginWorld, TARGET } from './StreamOriginWorld.js';

const SETTLED_MILLISECONDS = 21_000;
const SPREAD_MILLISECONDS = 250;

let world: StreamOriginWorld;

async function makeWorld(instances: number, versions = ['1', '2']): Promise<void> {
  world = new StreamOriginWorld(instances);
  versions.forEach((version) => world.versions.add(version));
  await world.clock.advance(SETTLED_MILLISECONDS);
}

afterEach(async () => {
  await world.stop();
  expect(world.failures).toEqual([]);
});

describe('StreamOrigins', () => {
  test.each([2, 7, 20, 60])('knows a stream of a killed instance among %i', async (count) => {
    await makeWorld(count);
    world.begin(0, 'a', '1');
    world.begin(0, 'b', '2');
    await world.clock.advance(SPREAD_MILLISECONDS);
    await world.instance(0).kill();
    expect(await world.find(1, 'a')).toEqual({ version: '1' });
    expect(await world.find(1, 'b')).toEqual({ version: '2' });
  });

  test('tells engines that state no version from those that do', async () => {
    world = new StreamOriginWorld(3);
    world.versions.add(undefined);
    await world.clock.advance(SETTLED_MILLISECONDS);
    world.begin(0, 'a', undefined);
    await world.clock.advance(SPREAD_MILLISECONDS);
    expect(await world.find(1, 'a')).toEqual({ version: undefined });
    expect(await world.find(1, 'b')).toBeUndefined();
  });

  test('sends nothing while a service has one version', async () => {
    await makeWorld(7, []);
    world.datagrams = 0;
    world.begin(0, 'a', '1')();
    expect(await world.find(1, 'a')).toEqual({ version: '1' });
    await world.clock.advance(SETTLED_MILLISECONDS);
    expect(world.datagrams).toBe(0);
  });

  // Guards against another instance that names the only version for a stream of an engine that may have another one.
  test('sends the record of an unconfirmed version while a service has one version', async () => {
    await makeWorld(7, []);
    world.begin(0, 'a', unconfirmedVersion('a'));
    await world.clock.advance(SPREAD_MILLISECONDS);
    expect(await world.find(1, 'a')).toEqual({ version: unconfirmedVersion('a') });
  });

  test('sends the records of open streams when a second version appears', async () => {
    await makeWorld(7, []);
    world.begin(0, 'a', '1');
    world.versions.add('2');
    await world.clock.advance(2000);
    await world.instance(0).kill();
    expect(await world.find(1, 'a')).toEqual({ version: '1' });
  });

  test('sends the records of open streams when the store has gone out', async () => {
    await makeWorld(3, []);
    world.begin(0, 'a', '1');
    world.isStoreDown = true;
    await world.clock.advance(5000);
    world.begin(0, 'b', '1');
    await world.clock.advance(SPREAD_MILLISECONDS);
    await world.instance(0).kill();
    expect(await world.find(1, 'a')).toEqual({ version: '1' });
  });

  test('does not know an identifier that was used again at another version', async () => {
    await makeWorld(5);
    world.begin(0, 'a', '1');
    world.begin(1, 'a', '2');
    await world.clock.advance(SPREAD_MILLISECONDS);
    const found = await Promise.all([0, 1, 2].map((index) => world.find(index, 'a')));
    expect(found).toEqual([undefined, undefined, undefined]);
  });

  test('does not know an attempt that has not begun a stream', async () => {
    await makeWorld(5);
    expect(await world.find(1, 'a')).toBeUndefined();
  });

  test('follows a stream over three instances', async () => {
    await makeWorld(5);
    world.begin(0, 'a', '2');
    for (const [index, identifier, resumed] of [
      [1, 'b', 'a'],
      [2, 'c', 'b'],
      [3, 'd', 'c'],
    ] as const) {
      await world.clock.advance(SPREAD_MILLISECONDS);
      await world.instance(index - 1).kill();
      const origin = await world.find(index, resumed);
      expect(origin).toEqual({ version: '2' });
      world.begin(index, identifier, origin?.version);
    }
  });

  // Guards against the only version in sight being named by instances that have seen no other one yet.
  test.each([
    ['with one version', []],
    ['with one that has left', ['2']],
  ])('names nothing after all instances have restarted, %s', async (_name, versions) => {
    await makeWorld(5, versions);
    world.begin(0, 'a', '1');
    await Promise.all(world.instances.map((instance) => instance.kill()));
    if (versions.length > 0) {
      world.versions.delete('1');
    }
    world.instances.forEach((instance) => instance.start());
    for (const index of [0, 3, 4]) {
      await world.clock.advance(SPREAD_MILLISECONDS);
      expect(await world.find(index, 'a')).toBeUndefined();
    }
  });

  // Guards against lost streams of callers that name no attempt, for which there is no record.
  test('takes the only version that any instance has seen if no attempt is named', async () => {
    await makeWorld(5, []);
    await Promise.all(world.instances.map((instance) => instance.kill()));
    world.instances.forEach((instance) => instance.start());
    await world.clock.advance(SPREAD_MILLISECONDS);
    expect(await world.find(3, '')).toEqual({ version: '1' });
    world.versions.add('2');
    await world.clock.advance(3000);
    expect(await world.find(3, '')).toBeUndefined();
  });

  test('names nothing while the list of other instances is empty and the history is short', async () => {
    await makeWorld(3);
    world.begin(0, 'a', '1');
    world.versions.delete('1');
    await world.clock.advance(SPREAD_MILLISECONDS);
    await world.instance(1).kill();
    world.instance(1).isAlone = true;
    world.instance(1).start();
    await world.clock.advance(3000);
    expect(await world.find(1, 'a')).toBeUndefined();
  });

  test('names nothing from a view of before the process stood still', async () => {
    await makeWorld(3, []);
    world.instances.forEach((instance) => instance.suspend());
    await world.clock.advance(5000);
    world.versions.add('2');
    world.instances.forEach((instance) => instance.resume());
    expect(await world.find(1, 'a')).toBeUndefined();
  });

  test.each([3, 20])('lets streams begin at once after one of %i has restarted', async (count) => {
    await makeWorld(count, []);
    await world.instance(0).kill();
    world.instance(0).start();
    await world.clock.advance(50);
    expect(world.instance(0).usableVersions).toEqual(['1']);
  });

  test('lets streams begin at once after all instances have restarted', async () => {
    await makeWorld(3, []);
    await Promise.all(world.instances.map((instance) => instance.kill()));
    world.instances.forEach((instance) => instance.start());
    await world.clock.advance(50);
    expect(world.instances.map(({ usableVersions }) => usableVersions)).toEqual([
      ['1'],
      ['1'],
      ['1'],
    ]);
  });

  // An instance that is not in the list may answer from a history of the version that has left.
  test('lets no stream begin for the bound while the list of other instances is empty', async () => {
    await makeWorld(2, []);
    await world.instance(0).kill();
    world.instance(0).isAlone = true;
    world.instance(0).start();
    await world.clock.advance(BOUND_MILLISECONDS);
    expect(world.instance(0).usableVersions).toEqual([]);
    await world.clock.advance(BOUND_MILLISECONDS);
    expect(world.instance(0).usableVersions).toEqual(['1']);
  });

  test('remembers a version that has left', async () => {
    await makeWorld(3, []);
    world.versions.add('2');
    await world.clock.advance(3000);
    world.versions.delete('2');
    await world.clock.advance(10_000);
    expect(await world.find(0, 'a')).toBeUndefined();
    await world.clock.advance(15_000);
    expect(await world.find(0, 'a')).toEqual({ version: '1' });
  });

  test('does not answer from its history while it is cut off', async () => {
    await makeWorld(3, []);
    world.instance(0).isCutOff = true;
    world.versions.add('2');
    await world.clock.advance(3000);
    world.begin(1, 'a', '2');
    await world.clock.advance(SPREAD_MILLISECONDS);
    expect(await world.find(0, 'a')).toBeUndefined();
  });

  test.each([3, 20])(
    'names the service of a split route by records only, among %i',
    async (count) => {
      await makeWorld(count, []);
      const split = { ...TARGET, services: ['other', SERVICE] };
      world.begin(0, 'a', '1', split);
      await world.clock.advance(SPREAD_MILLISECONDS);
      await world.instance(0).kill();
      expect(await world.find(1, 'a', split)).toEqual({ version: '1' });
      expect(await world.find(1, 'b', split)).toBeUndefined();
      expect(await world.find(1, 'a', { ...TARGET, services: ['other'] })).toBeUndefined();
    },
  );

  // Guards against a path whose other service an instance that has just started has not seen.
  test.each([
    ['that has had the same routes', 0, { version: '1' }],
    ['unless the routes have changed', 1000, undefined],
  ])('names a version by the history of another instance %s', async (_name, age, version) => {
    await makeWorld(3, []);
    if (age > 0) {
      world.routes = { ...world.routes, servicesFingerprint: 'moved' };
      await world.clock.advance(age);
    }
    await Promise.all([0, 1].map((index) => world.instance(index).kill()));
    world.instance(1).start();
    await world.clock.advance(SPREAD_MILLISECONDS);
    expect(await world.find(1, 'a')).toEqual(version);
  });

  test('sends the records of open streams when the services of a path change', async () => {
    await makeWorld(3, []);
    world.begin(0, 'a', '1');
    world.routes = { ...world.routes, servicesFingerprint: 'split' };
    await world.clock.advance(2000);
    await world.instance(0).kill();
    const split = { ...TARGET, services: ['other', SERVICE] };
    expect(await world.find(1, 'a', split)).toEqual({ version: '1' });
  });

  test.each([
    ['of a split route', { ...TARGET, services: ['other', SERVICE] }],
    ['of a path that has moved', TARGET],
  ])('sends the record of a long stream %s again', async (_name, target) => {
    await makeWorld(3, []);
    world.begin(0, 'a', '1', target);
    world.routes = { ...world.routes, servicesFingerprint: 'moved' };
    await world.clock.advance(200_000);
    await world.instance(0).kill();
    const split = { ...TARGET, services: ['other', SERVICE] };
    expect(await world.find(1, 'a', split)).toEqual({ version: '1' });
  });

  test('sends the record of a long stream again before others drop it', async () => {
    await makeWorld(3);
    world.begin(0, 'a', '1');
    await world.clock.advance(200_000);
    await world.instance(0).kill();
    expect(await world.find(1, 'a')).toEqual({ version: '1' });
  });

  // Guards against the settled version being named for a stream whose record others have dropped.
  test.each([
    ['whose version has left', '1', ['1']],
    ['of an unconfirmed version', unconfirmedVersion('a'), []],
  ])('sends the record of a long stream %s again', async (_name, version, leaving) => {
    await makeWorld(3, leaving.length > 0 ? ['2'] : []);
    world.begin(0, 'a', version);
    await world.clock.advance(SPREAD_MILLISECONDS);
    leaving.forEach((left) => world.versions.delete(left));
    await world.clock.advance(200_000);
    await world.instance(0).kill();
    expect(await world.find(1, 'a')).toEqual({ version });
  });

  test('rejects when the caller no longer waits', async () => {
    await makeWorld(3);
    const abort = new AbortController();
    const found = world.instance(0).origins?.find(TARGET, 'a', abort.signal);
    abort.abort();
    await expect(found).rejects.toMatchObject({ failure: { kind: 'cancelled' } });
  });
});
