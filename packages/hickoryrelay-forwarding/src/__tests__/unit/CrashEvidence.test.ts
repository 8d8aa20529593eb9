import { describe, expect, it } from 'vitest';
import { CrashEvidence } from 'hickoryrelay-forwarding/CrashEvidence';
import {
  CRASH_EVIDENCE_KIND,
  decodeCrashEvidence,
} from 'hickoryrelay-forwarding/CrashEvidenceMessage';
import { decodePeerMessage, encodePeerMessage } from 'hickoryrelay-forwarding/PeerMessage';

import type { ReportedEvidence } from 'hickoryrelay-forwarding/CrashEvidence';
import type { CrashEvidenceMessage } from 'hickoryrelay-forwarding/CrashEvidenceMessage';

function reportAll(evidence: CrashEvidence, now: number): ReportedEvidence[] {
  return [...evidence.segments]
    .map(({ segment }) => evidence.report(segment, now))
    .filter((report) => report !== undefined);
}

function crashesOf(evidence: CrashEvidence, segment: number): number[] {
  return [...(evidence.get(segment)?.crashes.keys() ?? [])].toSorted((left, right) => left - right);
}

describe('CrashEvidence', () => {
  it('has the same crashes after merges in any order, repeated or not', () => {
    const sources = [1, 2, 3].map((engine) => {
      const evidence = new CrashEvidence();
      evidence.recordCrash(engine, [7, 8], 1000 * engine);
      return reportAll(evidence, 4000);
    });
    for (const order of [
      [0, 1, 2],
      [2, 1, 0, 1, 2],
    ]) {
      const merged = new CrashEvidence();
      order.forEach((index) => merged.merge(sources[index] ?? [], 4000));
      expect(crashesOf(merged, 7)).toEqual([1, 2, 3]);
      expect(merged.get(8)?.crashes.get(2)).toBe(2000);
    }
  });

  it('tells a peer that a segment is sound, also one that began before it was suspected', () => {
    const suspecting = new CrashEvidence();
    suspecting.recordCrash(1, [7], 100);
    const knowing = new CrashEvidence();
    knowing.recordBegin([7], 50);
    const { outdated } = knowing.merge(reportAll(suspecting, 110), 110);
    expect(outdated).toEqual([7]);
    const { learned } = suspecting.merge(reportAll(knowing, 120), 120);
    expect(learned).toEqual([7]);
    expect(suspecting.get(7)).toMatchObject({ begunMilliseconds: 50 });
    expect(crashesOf(suspecting, 7)).toEqual([1]);
  });

  // Guards against a sound segment that stays suspect because engines begin it all the time.
  it('is cleared by a run at a peer shortly after the crash and after an earlier run', () => {
    const suspecting = new CrashEvidence();
    suspecting.recordBegin([7], 100);
    suspecting.recordCrash(1, [7], 500);
    const peer = new CrashEvidence();
    peer.merge(reportAll(suspecting, 510), 510);
    peer.recordBegin([7], 900);
    expect(suspecting.merge(reportAll(peer, 910), 910).learned).toEqual([7]);
    expect(crashesOf(suspecting, 7)).toEqual([]);
  });

  // Guards against instances that send each other the same evidence without end.
  it('learns nothing from its own evidence when it comes back with a delay', () => {
    const first = new CrashEvidence();
    const second = new CrashEvidence();
    first.recordBegin([8], 0);
    first.recordCrash(1, [7, 8], 10);
    second.merge(reportAll(first, 20), 70);
    for (let round = 1; round <= 20; round += 1) {
      const now = round * 100;
      const returned = first.merge(reportAll(second, now), now + 50);
      const repeated = second.merge(reportAll(first, now + 50), now + 100);
      expect([returned, repeated]).toEqual([
        { learned: [], outdated: [] },
        { learned: [], outdated: [] },
      ]);
    }
  });

  it('keeps at most 200 segments, those with the most crashes', () => {
    const evidence = new CrashEvidence();
    for (let engine = 0; engine < 3; engine += 1) {
      evidence.recordCrash(engine, [1], engine);
    }
    for (let segment = 2; segment < 1000; segment += 1) {
      evidence.recordCrash(99, [segment], 100 + segment);
    }
    expect(evidence.size).toBe(200);
    expect(crashesOf(evidence, 1)).toEqual([0, 1, 2]);
  });

  it('remembers the last 20,000 segments that engines have begun', () => {
    const evidence = new CrashEvidence();
    for (let segment = 0; segment < 100_000; segment += 1) {
      evidence.recordBegin([segment], segment);
    }
    evidence.recordCrash(1, [0, 80_000, 99_999], 100_000);
    expect(evidence.get(99_999)?.begunMilliseconds).toBe(99_999);
    expect(evidence.get(80_000)?.begunMilliseconds).toBe(80_000);
    expect(evidence.get(0)?.begunMilliseconds).toBeUndefined();
  });

  it('is unchanged by encoding and decoding', () => {
    const evidence = new CrashEvidence();
    evidence.recordBegin([8], 5);
    evidence.recordCrash(0xffff_ffff, [0xffff_fffe, 8], 10);
    const message: CrashEvidenceMessage = {
      kind: CRASH_EVIDENCE_KIND,
      replyTo: { host: '10.0.0.1', port: 7660 },
      evidence: reportAll(evidence, 500),
    };
    expect(decodePeerMessage(encodePeerMessage(message))).toEqual(message);
  });

  it.each([
    ['no address', [7, []]],
    ['no list', [[], 7]],
    ['a short entry', [[], [[1, -1]]]],
    ['a text as number', [[], [[1, -1, 'x']]]],
    ['half a crash', [[], [[1, -1, 0, 5]]]],
  ])('drops a message with %s', (_name, fields) => {
    expect(decodeCrashEvidence(fields)).toBeUndefined();
  });
});
