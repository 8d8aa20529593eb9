import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SimulatedFederation } from 'hickoryrelay-standin/SimulatedFederation';

import { InstanceDigest } from '../../InstanceDigest.js';
import { Liveness, Membership } from '../../Membership.js';
import type { DigestRow } from 'hickoryrelay-link/PeerMessages';

const OWN = { name: 'own', zone: 'zone-a', incarnation: '00aa' };

function rowOf(name: string, heartbeat: number, changes: Partial<DigestRow> = {}): DigestRow {
  return {
    identity: { name, zone: 'zone-a', incarnation: `01-${name}` },
    heartbeat,
    state: 'live',
    revision: 1,
    viewAgeMilliseconds: 0,
    peersUrl: `ws://${name}`,
    costs: [],
    work: { prefill: 0, decode: 0, classes: [] },
    ...changes,
  };
}

describe('membership', () => {
  let clock: ManualClock;
  let membership: Membership;

  beforeEach(() => {
    clock = new ManualClock();
    membership = new Membership(OWN, clock);
  });

  /** Lets seconds pass in which another instance is heard, so that this one is not isolated. */
  async function pass(seconds: number): Promise<void> {
    for (let second = 0; second < seconds; second += 1) {
      await clock.advance(1000);
      membership.tick();
      membership.takeRow(rowOf('chatty', clock.monotonicMilliseconds()));
    }
  }

  it('suspects after 5 s and gives up after 15 s', async () => {
    membership.takeRow(rowOf('other', 1));
    await pass(5);
    expect(membership.liveness('01-other')).toBe(Liveness.Live);
    await pass(1);
    expect(membership.liveness('01-other')).toBe(Liveness.Suspect);
    await pass(10);
    expect(membership.liveness('01-other')).toBe(Liveness.Dead);
  });

  it('takes nobody for dead after a pause of its own', async () => {
    membership.takeRow(rowOf('other', 1));
    await clock.advance(60_000);
    membership.tick();
    expect(membership.liveness('01-other')).toBe(Liveness.Live);
  });

  // Guards against orders from a demand that lacks the work of a silent instance.
  it('tells whether an instance of the own zone is silent', async () => {
    const far = { name: 'far', zone: 'zone-b', incarnation: '01-far' };
    membership.takeRow(rowOf('other', 1));
    membership.takeRow(rowOf('far', 1, { identity: far }));
    await pass(5);
    expect(membership.hearsOwnZone).toBe(true);
    await pass(1);
    expect(membership.hearsOwnZone).toBe(false);
    await pass(10);
    expect(membership.liveness('01-far')).toBe(Liveness.Suspect);
    expect(membership.hearsOwnZone).toBe(true);
  });

  it('takes nobody for dead while it hears nobody at all', async () => {
    membership.takeRow(rowOf('other', 1));
    for (let second = 0; second < 30; second += 1) {
      await clock.advance(1000);
      membership.tick();
    }
    expect(membership.liveness('01-other')).toBe(Liveness.Suspect);
  });

  it('never lets an old row or an old run override a newer one', () => {
    const newer = { ...rowOf('other', 1).identity, incarnation: '02-other' };
    membership.takeRow(rowOf('other', 9, { revision: 3 }));
    expect(membership.takeRow(rowOf('other', 8, { revision: 2 }))).toBe(false);
    expect(membership.takeRow(rowOf('other', 1, { identity: newer }))).toBe(true);
    expect(membership.takeRow(rowOf('other', 10))).toBe(false);
    expect(membership.liveness('01-other')).toBe(Liveness.Dead);
    expect(membership.liveness('02-other')).toBe(Liveness.Live);
  });

  it('keeps an instance leaving when a row from before arrives', () => {
    const row = rowOf('other', 1);
    membership.takeRow(row);
    expect(membership.markLeaving(row.identity)).toBe(true);
    expect(membership.markLeaving(row.identity)).toBe(false);
    membership.takeRow(rowOf('other', 2));
    expect(membership.liveness('01-other')).toBe(Liveness.Leaving);
  });

  it('chooses 3 neighbours in its zone and 1 in each of two others, without those leaving', () => {
    const zones = ['zone-a', 'zone-b', 'zone-c', 'zone-d'];
    membership.updateListed(
      zones.flatMap((zone) =>
        Array.from({ length: 6 }, (empty, index) => ({
          name: `${zone}-${index}`,
          zone,
          state: index === 0 ? ('leaving' as const) : ('live' as const),
          callersUrl: '',
          peersUrl: `ws://${zone}-${index}`,
        })),
      ),
    );
    const names = membership.neighbours().map(({ name }) => name);
    expect(names.filter((name) => name.startsWith('zone-a'))).toHaveLength(3);
    expect(new Set(names.slice(3).map((name) => name.slice(0, 6))).size).toBe(2);
    expect(names).toHaveLength(5);
    expect(names.some((name) => name.endsWith('-0'))).toBe(false);
  });

  it('charges the cost of other instances once, whatever rows are lost or repeated', () => {
    const statement = () => ({ revision: 1, viewAgeMilliseconds: 0 });
    const digest = new InstanceDigest(membership, clock, statement, () => 'ws://own');
    const charged: [string, number][] = [];
    digest.subscribe((account, cost) => charged.push([account, cost]));
    const hear = (heartbeat: number, total: number) =>
      digest.receive({
        type: 'digest',
        rows: [rowOf('other', heartbeat, { costs: [['first', total]] })],
        heartbeats: [],
      });
    hear(5, 100);
    hear(7, 130);
    hear(6, 120);
    hear(9, 150);
    hear(9, 150);
    expect(charged).toEqual([
      ['first', 30],
      ['first', 20],
    ]);
    expect(digest.costElsewhere.get('first')).toBe(50);
  });

  it('tells all instances within two seconds that one is leaving', async () => {
    const federation = new SimulatedFederation(1);
    for (let index = 0; index < 12; index += 1) {
      await federation.start(`entry-${index}`, index < 8 ? 'zone-a' : 'zone-b');
    }
    await federation.clock.advance(20_000);
    const leaving = federation.instances.get('entry-3');
    const incarnation = leaving?.controlPlane.network.identity.incarnation ?? '';
    void leaving?.stop();
    federation.instances.delete('entry-3');
    await federation.clock.advance(2000);
    const views = [...federation.instances.values()].map(({ controlPlane: control }) =>
      control.digest.liveness(incarnation),
    );
    federation.stop();
    expect(new Set(views)).toEqual(new Set([Liveness.Leaving]));
  });

  // Guards against a seed that goes before what the list and the peers say.
  it('uses seeds only while no other instance seems to live', async () => {
    const seeds = ['own', 'seed', 'other'].map((name) => ({ name, url: `ws://seed-${name}` }));
    const seeded = new Membership(OWN, clock, seeds);
    const urls = () => seeded.neighbours().map(({ url }) => url);
    expect(urls()).toEqual(['ws://seed-seed', 'ws://seed-other']);
    seeded.takeRow(rowOf('other', 1));
    expect(urls()).toEqual(['ws://other']);
    // A second instance is heard all the time, so that the silence of the first means its death.
    for (let second = 0; second < 20; second += 1) {
      await clock.advance(1000);
      seeded.takeRow(rowOf('third', second, { state: 'leaving' }));
      seeded.tick();
    }
    expect(urls()).toEqual(['ws://other', 'ws://seed-seed']);
  });

  // Guards against an instance that stays alone because it starts while the list is out.
  it.each([
    [[{ name: 'entry-0', url: 'ws://entry-0' }], 5],
    [[], 0],
  ])('finds all instances from the seeds %j while the platform is out', async (seeds, found) => {
    const federation = new SimulatedFederation(1);
    for (let index = 0; index < 5; index += 1) {
      await federation.start(`entry-${index}`, index < 3 ? 'zone-a' : 'zone-b');
    }
    await federation.clock.advance(20_000);
    federation.platform.isUnavailable = true;
    const { controlPlane: control } = await federation.start('late', 'zone-a', seeds);
    await federation.clock.advance(19_000);
    const linked = control.network.connectedPeers().filter(({ zone }) => zone === 'zone-a');
    federation.stop();
    expect(control.membership.size).toBe(found);
    expect(linked).toHaveLength(Math.min(found, 3));
  });
});
