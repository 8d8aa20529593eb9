import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SimulatedFederation } from 'hickoryrelay-standin/SimulatedFederation';

import { InstanceDigest } from '../../InstanceDigest.js';
import { Liveness, Membership } from '../../Membership.js';
import type { DigestRow } from 'hickoryrelay-link/PeerMessages';

const OWN_IDENTITY = { name: 'own', zone: 'zone-a', incarnation: '00aa' };

function createRow(name: string, heartbeat: number, changes: Partial<DigestRow> = {}): DigestRow {
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
    membership = new Membership(OWN_IDENTITY, clock);
  });

  /** Advances the clock while another instance sends rows, so that this one is not isolated. */
  async function advanceSeconds(seconds: number): Promise<void> {
    for (let second = 0; second < seconds; second += 1) {
      await clock.advance(1000);
      membership.tick();
      membership.applyRow(createRow('active', clock.monotonicMilliseconds()));
    }
  }

  // Guards against timeouts that miss a failed instance or drop a slow one.
  it('suspects an instance after 5 s of silence and considers it dead after 15 s', async () => {
    membership.applyRow(createRow('other', 1));
    await advanceSeconds(5);
    expect(membership.liveness('01-other')).toBe(Liveness.Live);
    await advanceSeconds(1);
    expect(membership.liveness('01-other')).toBe(Liveness.Suspect);
    await advanceSeconds(10);
    expect(membership.liveness('01-other')).toBe(Liveness.Dead);
  });

  // Guards against considering all peers dead because this process was paused.
  it('considers no instance dead after a pause of its own process', async () => {
    membership.applyRow(createRow('other', 1));
    await clock.advance(60_000);
    membership.tick();
    expect(membership.liveness('01-other')).toBe(Liveness.Live);
  });

  // Guards against orders based on a demand that lacks the work of a silent instance.
  it('reports whether an instance of the own zone is suspected', async () => {
    const far = { name: 'far', zone: 'zone-b', incarnation: '01-far' };
    membership.applyRow(createRow('other', 1));
    membership.applyRow(createRow('far', 1, { identity: far }));
    await advanceSeconds(5);
    expect(membership.isOwnZoneResponsive).toBe(true);
    await advanceSeconds(1);
    expect(membership.isOwnZoneResponsive).toBe(false);
    await advanceSeconds(10);
    expect(membership.liveness('01-far')).toBe(Liveness.Suspect);
    expect(membership.isOwnZoneResponsive).toBe(true);
  });

  // Guards against considering all peers dead because this instance lost its own connections.
  it('considers no instance dead while it receives no heartbeats at all', async () => {
    membership.applyRow(createRow('other', 1));
    for (let second = 0; second < 30; second += 1) {
      await clock.advance(1000);
      membership.tick();
    }
    expect(membership.liveness('01-other')).toBe(Liveness.Suspect);
  });

  // Guards against gossip that arrives late and reverts the state of an instance.
  it('ignores rows that are older or of an earlier incarnation', () => {
    const newer = { ...createRow('other', 1).identity, incarnation: '02-other' };
    membership.applyRow(createRow('other', 9, { revision: 3 }));
    expect(membership.applyRow(createRow('other', 8, { revision: 2 }))).toBe(false);
    expect(membership.applyRow(createRow('other', 1, { identity: newer }))).toBe(true);
    expect(membership.applyRow(createRow('other', 10))).toBe(false);
    expect(membership.liveness('01-other')).toBe(Liveness.Dead);
    expect(membership.liveness('02-other')).toBe(Liveness.Live);
  });

  // Guards against new calls to a leaving instance because of a row that was sent before.
  it('keeps an instance leaving when a row from before arrives', () => {
    const row = createRow('other', 1);
    membership.applyRow(row);
    expect(membership.markLeaving(row.identity)).toBe(true);
    expect(membership.markLeaving(row.identity)).toBe(false);
    membership.applyRow(createRow('other', 2));
    expect(membership.liveness('01-other')).toBe(Liveness.Leaving);
  });

  // Guards against a peer graph that is disconnected or that links to leaving instances.
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

  // Guards against cost that is counted twice or not at all when rows are lost or repeated.
  it('charges the cost of other instances once, whatever rows are lost or repeated', () => {
    const statement = () => ({ revision: 1, viewAgeMilliseconds: 0 });
    const digest = new InstanceDigest(membership, clock, statement, () => 'ws://own');
    const charged: [string, number][] = [];
    digest.subscribe((account, cost) => charged.push([account, cost]));
    const receive = (heartbeat: number, total: number) =>
      digest.receive({
        type: 'digest',
        rows: [createRow('other', heartbeat, { costs: [['first', total]] })],
        heartbeats: [],
      });
    receive(5, 100);
    receive(7, 130);
    receive(6, 120);
    receive(9, 150);
    receive(9, 150);
    expect(charged).toEqual([
      ['first', 30],
      ['first', 20],
    ]);
    expect(digest.remoteCostByAccount.get('first')).toBe(50);
  });

  // Guards against instances that keep sending to a leaving one until its heartbeats stop.
  it('informs all instances within two seconds that one is leaving', async () => {
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

  // Guards against a seed that takes precedence over the list and the rows of peers.
  it('uses seeds only while every known instance is dead', async () => {
    const seeds = ['own', 'seed', 'other'].map((name) => ({ name, url: `ws://seed-${name}` }));
    const seededMembership = new Membership(OWN_IDENTITY, clock, seeds);
    const urls = () => seededMembership.neighbours().map(({ url }) => url);
    expect(urls()).toEqual(['ws://seed-seed', 'ws://seed-other']);
    seededMembership.applyRow(createRow('other', 1));
    expect(urls()).toEqual(['ws://other']);
    // Rows of a second instance keep this one from being isolated, so the first is considered dead.
    for (let second = 0; second < 20; second += 1) {
      await clock.advance(1000);
      seededMembership.applyRow(createRow('third', second, { state: 'leaving' }));
      seededMembership.tick();
    }
    expect(urls()).toEqual(['ws://other', 'ws://seed-seed']);
  });

  // Guards against an instance that stays isolated because it starts while the list is unavailable.
  it.each([
    [[{ name: 'entry-0', url: 'ws://entry-0' }], 5],
    [[], 0],
  ])(
    'finds all instances from the seeds %j while the platform is unavailable',
    async (seeds, found) => {
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
    },
  );
});
