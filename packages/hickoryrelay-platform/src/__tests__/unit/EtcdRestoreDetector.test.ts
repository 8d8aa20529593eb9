import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';

import { EtcdRestoreDetector, RevisionProof } from '../../EtcdRestoreDetector.js';
import { StoreEra } from '../../StoreEra.js';

import type { EtcdHeader } from '../../EtcdCodec.js';
import type { ReceivedState } from '../../EtcdRestoreDetector.js';

function createDetector() {
  const era = new StoreEra(new ManualClock());
  const detector = new EtcdRestoreDetector(era);
  const restores: number[] = [];
  detector.onRestore((restore) => restores.push(restore.era));
  return { detector, era, restores };
}

function header(cluster: string, revision: number, raftTerm = 2, member = 'm1'): EtcdHeader {
  return {
    cluster_id: cluster,
    member_id: member,
    revision: String(revision),
    raft_term: String(raftTerm),
  };
}

describe('EtcdRestoreDetector', () => {
  it.each([
    ['another cluster', header('b', 20), RevisionProof.None],
    ['a lower revision of a linearizable read', header('a', 9), RevisionProof.NotLower],
    ['the same revision of a write', header('a', 10), RevisionProof.Higher],
    ['a lower raft term of the member', header('a', 20, 4), RevisionProof.None],
  ])('begins an era with %s', (name, restored, proof) => {
    const { detector, era, restores } = createDetector();
    detector.observe(header('a', 10, 5), detector.received, RevisionProof.NotLower);
    expect(detector.observe(restored, detector.received, proof)).toBe(1);
    expect([era.current, restores]).toEqual([1, [1]]);
  });

  // Guards against a restore that is reported for a member that lags or stands for election.
  it.each([
    [
      'a lower revision of a response that is not linearizable',
      header('a', 9, 5),
      RevisionProof.None,
    ],
    ['a lower raft term of another member', header('a', 10, 4, 'm2'), RevisionProof.NotLower],
    ['a response without a header', {}, RevisionProof.Higher],
  ])('begins no era with %s', (name, response, proof) => {
    const { detector, restores } = createDetector();
    detector.observe(header('a', 10, 5), detector.received, RevisionProof.NotLower);
    expect(detector.observe(response, detector.received, proof)).toBe(0);
    expect(restores).toEqual([]);
  });

  it('refuses a response that may be from before a restore that has been seen', () => {
    const { detector, restores } = createDetector();
    detector.observe(header('a', 10), detector.received, RevisionProof.NotLower);
    const earlier = detector.received;
    detector.observe(header('b', 5), detector.received, RevisionProof.NotLower);
    expect(detector.observe(header('a', 11), earlier, RevisionProof.NotLower)).toBeUndefined();
    expect(detector.observe(header('b', 6), earlier, RevisionProof.NotLower)).toBe(1);
    expect(restores).toEqual([1]);
  });

  // Guards against responses that overtake each other and are taken for a restore, and against a
  // restore that is missed.
  it('counts exactly the restores, whatever order the responses arrive in', () => {
    const step = fc.oneof(
      fc.constant({ type: 'send' as const }),
      fc.constant({ type: 'write' as const }),
      fc.record({ type: fc.constant('receive' as const), position: fc.nat(20) }),
      fc.record({ type: fc.constant('restore' as const), lost: fc.integer({ min: 1, max: 5 }) }),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 120 }), fc.boolean(), (steps, isNewCluster) => {
        const { detector, restores } = createDetector();
        const model = { cluster: 1, revision: 1000, restores: 0 };
        const inFlight: { sent: ReceivedState; header: EtcdHeader; restores: number }[] = [];
        const send = () => ({
          sent: detector.received,
          header: header(`c${model.cluster}`, model.revision),
          restores: model.restores,
        });
        const receive = (response: (typeof inFlight)[number] | undefined) => {
          const era =
            response && detector.observe(response.header, response.sent, RevisionProof.NotLower);
          if (response !== undefined && era !== undefined) {
            expect(era).toBe(response.restores);
          }
        };
        receive(send());
        for (const next of steps) {
          if (next.type === 'write') {
            model.revision += 1;
          } else if (next.type === 'send') {
            inFlight.push(send());
          } else if (next.type === 'receive') {
            receive(inFlight.splice(next.position % Math.max(1, inFlight.length), 1)[0]);
          } else {
            // Everything acknowledged so far is known to the client, as after an idle moment.
            receive(send());
            model.cluster += isNewCluster ? 1 : 0;
            model.revision -= next.lost;
            model.restores += 1;
            receive(send());
          }
        }
        receive(send());
        expect(restores.length).toBe(model.restores);
      }),
    );
  });
});
