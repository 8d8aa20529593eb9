import { once } from 'node:events';
import { describe, expect, it } from 'vitest';

import { withTimeout } from '../../TimeoutSignalUtils.js';

const LONG_MILLISECONDS = 600_000;

describe('a signal with a time limit', () => {
  it('aborts after the time limit', async () => {
    const signal = withTimeout(new AbortController().signal, 10);
    await once(signal, 'abort');
    expect(signal.reason).toMatchObject({ name: 'TimeoutError' });
  });

  it('aborts with the other signal', () => {
    const controller = new AbortController();
    const signal = withTimeout(controller.signal, LONG_MILLISECONDS);
    expect(signal.aborted).toBe(false);
    controller.abort('stop');
    expect(signal.reason).toBe('stop');
    expect(withTimeout(controller.signal, LONG_MILLISECONDS).aborted).toBe(true);
  });
});
