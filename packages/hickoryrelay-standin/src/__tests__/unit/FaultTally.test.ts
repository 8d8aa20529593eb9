import { expect, it } from 'vitest';

import { FaultKind, FaultTally } from '../../FaultTally.js';

// Guards against a fuzz run that passes although one of its named faults was never injected.
it('prints the counts by kind and names the kinds that were never injected', () => {
  const tally = new FaultTally();
  tally.count(FaultKind.Kill);
  tally.count(FaultKind.Kill);
  tally.count(FaultKind.LostResponse);
  const named = [FaultKind.Kill, FaultKind.Pause];
  expect(tally.describe('usage', named)).toBe(
    'usage faults: kills 2, pauses 0, lost responses 1; NEVER INJECTED: pauses\n',
  );
});
