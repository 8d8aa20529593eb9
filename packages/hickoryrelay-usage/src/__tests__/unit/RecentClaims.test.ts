import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';

import { RecentClaims } from '../../RecentClaims.js';

const CLAIMS = 2000;
const CONTENT_TYPE_BYTES = 15_000;

function collectGarbage(): void {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
}

describe('RecentClaims', () => {
  // Guards against content types of endpoints that are kept for an hour.
  it('keeps nothing of a response that its endpoint chooses', () => {
    const claims = new RecentClaims(new ManualClock());
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    for (let index = 0; index < CLAIMS; index += 1) {
      // As the client library makes it, of bytes of its own.
      const contentType = Buffer.alloc(CONTENT_TYPE_BYTES, 'x').toString('latin1');
      const answer = { status: 200, contentType };
      claims.record(`key-${index}`, { requestIdentifier: 'r', digest: 'd', answer }, 1);
    }
    collectGarbage();
    const growth = process.memoryUsage().heapUsed - before;
    expect(growth).toBeLessThan((CLAIMS * CONTENT_TYPE_BYTES) / 4);
    expect(claims.listOfEarlierEras(2)).toHaveLength(CLAIMS);
  });
});
