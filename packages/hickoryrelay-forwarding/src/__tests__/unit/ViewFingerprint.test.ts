import { describe, expect, it } from 'vitest';
import { EndpointPhase, EngineStage } from 'hickoryrelay-forwarding/EndpointRecord';
import { fingerprintOf } from 'hickoryrelay-forwarding/ViewFingerprint';

import { makeEndpoint } from './ForwardingFixture.js';
import { makePeer } from './InMemoryPeerNetwork.js';

const endpoints = [makeEndpoint('e1'), makeEndpoint('e2', { stage: EngineStage.Decode })];
const peers = [makePeer(0, 'zone-a'), makePeer(1, 'zone-a')];
const fingerprint = fingerprintOf({ endpoints, peers });

describe('fingerprintOf', () => {
  it('does not depend on the order or the identity of the records', () => {
    const copies = endpoints.map((record) => ({ ...record })).reverse();
    expect(fingerprintOf({ endpoints: copies, peers: [...peers].reverse() })).toBe(fingerprint);
  });

  // Guards against a list that differs from the one of the relay and passes for the same.
  it.each([
    ['identifier', { identifier: 'e3' }],
    ['service', { service: 'other' }],
    ['address', { address: '10.0.0.2:2' }],
    ['zone', { zone: 'zone-b' }],
    ['slots', { slots: 7 }],
    ['phase', { phase: EndpointPhase.Leaving }],
    ['start', { startedMilliseconds: 2 }],
    ['reclaimability', { isReclaimable: true }],
    ['stage', { stage: EngineStage.Prefill }],
    ['software version', { softwareVersion: 'v2' }],
    ['empty software version', { softwareVersion: '' }],
  ])('depends on the %s of an endpoint', (_name, changes) => {
    const changed = [makeEndpoint('e1', changes), ...endpoints.slice(1)];
    expect(fingerprintOf({ endpoints: changed, peers })).not.toBe(fingerprint);
  });

  it.each([
    ['instance', { instance: 'other' }],
    ['zone', { zone: 'zone-b' }],
    ['host', { host: '10.0.0.9' }],
    ['port', { port: 1 }],
    ['cores', { cores: 1 }],
  ])('depends on the %s of an instance', (_name, changes) => {
    const changed = [{ ...makePeer(0, 'zone-a'), ...changes }, ...peers.slice(1)];
    expect(fingerprintOf({ endpoints, peers: changed })).not.toBe(fingerprint);
  });

  it('depends on the number of records', () => {
    expect(fingerprintOf({ endpoints: endpoints.slice(1), peers })).not.toBe(fingerprint);
    expect(fingerprintOf({ endpoints, peers: [] })).not.toBe(fingerprint);
  });
});
