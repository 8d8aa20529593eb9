import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { failureOf } from 'hickoryrelay/RelayError';
import { assembleDocument } from 'hickoryrelay-contract/ConfigurationBucket';
import { HEAD_KEY } from 'hickoryrelay-platform/ConfigurationStore';
import { sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';
import { PathState } from 'hickoryrelay-standin/MemoryNetwork';
import { SimulatedFederation } from 'hickoryrelay-standin/SimulatedFederation';

import type { ConfigurationHead } from 'hickoryrelay-platform/ConfigurationStore';
import type { KeyValueTableCopy } from 'hickoryrelay-standin/KeyValueTable';

const ZONES = { 'a-1': 'zone-a', 'a-2': 'zone-a', 'a-3': 'zone-a', 'b-1': 'zone-b' } as const;

/** The users' limit for a change to be in force everywhere. */
const LIMIT_MILLISECONDS = 19_000;

describe('a configuration whose store is restored from an older copy', () => {
  let federation: SimulatedFederation;
  let writtenHeads: ConfigurationHead[];
  let copies: KeyValueTableCopy[];

  beforeEach(async () => {
    federation = new SimulatedFederation(1);
    writtenHeads = [];
    federation.platform.table.subscribe(({ events }) => {
      for (const event of events) {
        if (event.type === 'put' && event.value.key === HEAD_KEY) {
          writtenHeads.push(JSON.parse(event.value.value) as ConfigurationHead);
        }
      }
    });
    for (const [name, zone] of Object.entries(ZONES)) {
      await federation.start(name, zone);
    }
    copies = [federation.platform.table.copy()];
    for (const cost of [1, 2, 3]) {
      await apply(cost, cost - 1);
      await federation.clock.advance(LIMIT_MILLISECONDS);
      copies.push(federation.platform.table.copy());
    }
    expect(activeCosts()).toEqual([3, 3, 3, 3]);
    writtenHeads = [];
  });

  afterEach(() => federation.stop());

  /** Replaces the configuration, as an operator does. Returns the new revision. */
  async function apply(
    cost: number,
    expectedRevision: number,
    revisionInForce = 0,
  ): Promise<number> {
    const document = sampleDeclarations();
    document.budget.costPerHour = cost;
    const change = { author: 'operator', summary: `cost ${cost}`, wallMilliseconds: 0 };
    const replacing = federation
      .operator('operator')
      .replace(document, expectedRevision, change, revisionInForce);
    const [head] = await Promise.all([replacing, federation.clock.advance(100)]);
    return head.revision;
  }

  function activeCosts(): number[] {
    return [...federation.instances.values()].map(
      ({ view }) => view.declarations.document.budget.costPerHour,
    );
  }

  function activeRevisions(): number[] {
    return [...federation.instances.values()].map(({ view }) => view.revision);
  }

  async function stored(): Promise<object> {
    const reading = federation.operator('operator').read();
    await federation.clock.advance(100);
    const configuration = await reading;
    const cost = configuration && assembleDocument(configuration.texts).budget.costPerHour;
    const revision = configuration?.head.revision;
    return { revision, cost, writtenHeads: writtenHeads.length };
  }

  // Guards against an acknowledged change that comes back older, and against a later change that is
  // ignored because its revision has been passed already.
  it.each([
    ['before the first change', 0],
    ['after the first change', 1],
  ])('is put back once if the copy is from %s', async (name, copy) => {
    federation.platform.table.restore(copies[copy]!);
    await federation.clock.advance(LIMIT_MILLISECONDS);
    expect(await stored()).toEqual({ revision: 3, cost: 3, writtenHeads: 1 });
    expect(activeRevisions()).toEqual([3, 3, 3, 3]);
    expect(await apply(4, 3)).toBe(4);
    await federation.clock.advance(LIMIT_MILLISECONDS);
    expect(activeCosts()).toEqual([4, 4, 4, 4]);
  });

  // Guards against a change of an operator that is overwritten, and against one that never takes effect.
  it('is not put back over a change of an operator, whose next change takes effect', async () => {
    federation.platform.table.restore(copies[1]!);
    expect(await apply(20, 1)).toBe(2);
    await federation.clock.advance(LIMIT_MILLISECONDS);
    expect(await stored()).toEqual({ revision: 2, cost: 20, writtenHeads: 1 });
    expect(activeCosts()).toEqual([3, 3, 3, 3]);
    const refused = await apply(20, 2, 3).catch(failureOf);
    expect(refused).toMatchObject({ kind: 'revision-conflict', expected: 2, found: 3 });
    expect(await apply(20, 3, 3)).toBe(4);
    await federation.clock.advance(LIMIT_MILLISECONDS);
    expect(activeCosts()).toEqual([20, 20, 20, 20]);
  });

  // Guards against two configurations that are taken for one because their revisions are equal.
  it('is not confirmed by another configuration with the same revision', async () => {
    federation.platform.table.restore(copies[2]!);
    expect(await apply(30, 2)).toBe(3);
    const limit = 2 * LIMIT_MILLISECONDS;
    await federation.clock.advance(limit);
    expect(activeCosts()).toEqual([3, 3, 3, 3]);
    for (const { view } of federation.instances.values()) {
      expect(view.ageMilliseconds).toBeGreaterThanOrEqual(limit);
    }
    expect(await apply(40, 3)).toBe(4);
    await federation.clock.advance(LIMIT_MILLISECONDS);
    expect(activeCosts()).toEqual([40, 40, 40, 40]);
  });

  // Guards against peers that confirm each other's views although their configurations differ.
  it('is not confirmed by a peer that has another configuration with the same revision', async () => {
    federation.platform.table.restore(copies[2]!);
    expect(await apply(30, 2)).toBe(3);
    const others = [...federation.instances.values()];
    const setPaths = (state: PathState) =>
      others.forEach(({ url }) => federation.network.setPath('ws://c-1', url, state));
    setPaths(PathState.Cut);
    const added = await federation.start('c-1', 'zone-c');
    await federation.clock.advance(LIMIT_MILLISECONDS);
    expect(activeCosts()).toEqual([3, 3, 3, 3, 30]);
    setPaths(PathState.Open);
    await federation.clock.advance(LIMIT_MILLISECONDS);
    expect(added.view.ageMilliseconds).toBeLessThan(LIMIT_MILLISECONDS);
    expect([...added.controlPlane.network.connectedPeers()].length).toBeGreaterThan(0);
    for (const { view } of others) {
      expect(view.ageMilliseconds).toBeGreaterThanOrEqual(2 * LIMIT_MILLISECONDS);
    }
  });

  // Guards against an instance that knows only the newest revision and takes the change of an operator
  // for an older one.
  it('is put back only by an instance that has had the older one in force', async () => {
    federation.platform.table.restore(copies[1]!);
    federation.platform.isUnavailable = true;
    federation.kill('a-1');
    await federation.start('a-1', 'zone-a');
    await federation.clock.advance(LIMIT_MILLISECONDS);
    expect(activeRevisions()).toEqual([3, 3, 3, 3]);
    ['a-2', 'a-3', 'b-1'].forEach((name) => federation.platform.unreachableCallers.add(name));
    federation.platform.isUnavailable = false;
    await federation.clock.advance(LIMIT_MILLISECONDS);
    expect(await stored()).toEqual({ revision: 1, cost: 1, writtenHeads: 0 });
    federation.platform.unreachableCallers.clear();
    await federation.clock.advance(LIMIT_MILLISECONDS);
    expect(await stored()).toEqual({ revision: 3, cost: 3, writtenHeads: 1 });
  });

  // Guards against instances that are all started again after the restore and bring nothing back.
  it('keeps its revision in force at an instance that was cut off meanwhile', async () => {
    federation.platform.unreachableCallers.add('b-1');
    federation.platform.table.restore(copies[1]!);
    await federation.clock.advance(LIMIT_MILLISECONDS);
    expect(activeRevisions()).toEqual([3, 3, 3, 3]);
    federation.platform.unreachableCallers.clear();
    await federation.clock.advance(LIMIT_MILLISECONDS);
    expect(await stored()).toEqual({ revision: 3, cost: 3, writtenHeads: 1 });
  });
});
