import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { silentLogger } from 'hickoryrelay/Logger';
import { ZoneController } from 'hickoryrelay-instance/ZoneController';
import { EtcdKeyValueStore } from 'hickoryrelay-platform/EtcdKeyValueStore';
import { HttpEndpointSupply } from 'hickoryrelay-platform/HttpPlatform';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';
import { Fleet } from 'hickoryrelay-zone/Fleet';
import { ZoneObserver } from 'hickoryrelay-zone/PolicyPlanner';
import { authorityKey, SPEND_KEY } from 'hickoryrelay-zone/ZoneKeyUtils';

import type { SupplyObservation } from 'hickoryrelay-zone/SupplyPolicy';

/** Observes a demand of one endpoint, and the endpoints that the platform has supplied. */
class ShortageObserver extends ZoneObserver {
  private readonly supplied: () => number;

  constructor(supplied: () => number) {
    super();
    this.supplied = supplied;
  }

  override roles(): undefined {
    return undefined;
  }

  override findSupplied(): undefined {
    return undefined;
  }

  override supply(): SupplyObservation {
    const kind = sampleDeclarations().endpointKinds[0]!;
    return {
      nowMilliseconds: 0,
      kinds: [{ kind, count: this.supplied(), idle: [] }],
      demands: [
        {
          className: 'ask',
          units: 1,
          unitsAfterLeadTime: 1,
          toleratesLoss: false,
          lossTarget: 0.01,
        },
      ],
      largestReclaim: 0,
      zoneCount: 1,
      spendLimit: 100_000,
      spent: 0,
    };
  }
}

describe('ZoneController', () => {
  const federation = new LocalFederation();

  beforeAll(async () => {
    await federation.start();
    await federation.apply(sampleDeclarations());
  });

  afterAll(() => federation.stop());

  const authorityRecord = (zone: string) =>
    federation.gateway.table.range(authorityKey(zone)).values[0]?.value ?? '';

  // Guards against an authority that moves while its holder is live, or is not released at the end.
  it('gives one instance the authority until it stops, then another', async () => {
    await federation.addEngine('engine-1', {
      kind: 'engine',
      zone: 'zone-a',
      models: ['model-one'],
      times: { prefillRate: 100_000, decodeMilliseconds: 1 },
    });
    const first = await federation.addInstance('entry-1', 'zone-a');
    await federation.waitUntil(() => authorityRecord('zone-a').includes('entry-1/'));
    await federation.addInstance('entry-2', 'zone-a');
    expect(authorityRecord('zone-a')).toContain('entry-1/');
    federation.instances.splice(federation.instances.indexOf(first), 1);
    await first.stop();
    expect(authorityRecord('zone-a')).not.toContain('entry-1/');
    await federation.waitUntil(() => authorityRecord('zone-a').includes('entry-2/'));
    expect(authorityRecord('zone-a')).toContain('"fencingNumber":2');
  });

  // Guards against repeated orders for one shortage and orders whose cost is not reserved.
  it('orders an endpoint from the platform once, with the spend reserved', async () => {
    const { clock, random, platform, gateway } = federation;
    const lifecycle = new LifecycleManager('test', clock, () => {});
    const store = new EtcdKeyValueStore({ urls: [gateway.url] });
    const supply = new HttpEndpointSupply(platform.url);
    const supplied = () => platform.supply.list('zone-b').length;
    new ZoneController({
      instance: { name: 'entry-3', zone: 'zone-b' },
      store,
      supply,
      fleet: new Fleet(),
      observer: new ShortageObserver(supplied),
      clock,
      random,
      lifecycle,
      log: () => silentLogger,
    }).start();
    await federation.waitUntil(() => supplied() > 0);
    await lifecycle.stop();
    await store.close();
    expect(platform.supply.received.map((order) => order.zone)).toEqual(['zone-b']);
    expect(gateway.table.range(SPEND_KEY).values[0]?.value).toBe('{"zone-b":4000}');
    expect(authorityRecord('zone-b')).toBe('');
  });
});
