import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { describe, expect, it } from 'vitest';
import { PromptCacheDirectory } from 'hickoryrelay-forwarding/PromptCacheDirectory';

import type { EndpointState } from 'hickoryrelay-forwarding/EndpointState';

const SEGMENTS = 20_000;
const ENGINES = 40;

/** An eighth of what an instance has for control. */
const MAXIMUM_BYTES = 32 * 1_048_576;

function collectGarbage(): void {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
}

describe('PromptCacheDirectory', () => {
  // Guards against a bound on segments that does not bound the engines of each.
  it('stays within its memory when each segment is used at many engines', () => {
    const directory = new PromptCacheDirectory();
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    for (let engine = 0; engine < ENGINES; engine += 1) {
      for (let segment = 0; segment < SEGMENTS; segment += 1) {
        directory.record({ engine, segment, sharedTokens: 1, ownTokens: 0 }, 1000);
      }
    }
    collectGarbage();
    expect(process.memoryUsage().heapUsed - before).toBeLessThan(MAXIMUM_BYTES);
    const last = { hash: ENGINES - 1 } as EndpointState;
    expect(directory.isHolder(SEGMENTS - 1, last, 1e9, 1000)).toBe(true);
  });
});
