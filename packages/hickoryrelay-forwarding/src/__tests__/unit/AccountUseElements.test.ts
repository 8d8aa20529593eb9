import fastCheck from 'fast-check';
import { pack, unpack } from 'msgpackr';
import { describe, expect, it } from 'vitest';
import {
  decodePeerMessage,
  encodePeerMessage,
  PeerMessageKind,
} from 'hickoryrelay-forwarding/PeerMessage';

import type { LoadMessage } from 'hickoryrelay-forwarding/PeerMessage';
import type { AccountUseReport } from 'hickoryrelay-quota/AccountUse';

const MESSAGE: LoadMessage = {
  kind: PeerMessageKind.LoadReport,
  sender: 'instance-1',
  loads: [],
  uses: [],
  rateLimits: [],
};

const REPORT: AccountUseReport = {
  instances: 3,
  sentMilliseconds: 1_700_000_000_000,
  isComplete: true,
  accounts: [{ account: 7, windowUse: 100, level: 50.25, demandPerSecond: 0.5, agreedUse: 20 }],
};

function decodeUse(accountUse: unknown): AccountUseReport | undefined {
  const message = decodePeerMessage(
    pack([MESSAGE.kind, MESSAGE.sender, [], [], [], [], [], accountUse]),
  );
  expect(message).toMatchObject(MESSAGE);
  return (message as LoadMessage).accountUse;
}

describe('use of accounts in load messages', () => {
  it('survives encoding', () => {
    const message = { ...MESSAGE, accountUse: REPORT };
    expect(decodePeerMessage(encodePeerMessage(message))).toEqual(message);
  });

  // Guards against bytes in messages of deployments that use no quotas.
  it('adds nothing to a message without quotas', () => {
    expect(unpack(encodePeerMessage(MESSAGE))).toHaveLength(7);
    expect(decodePeerMessage(encodePeerMessage(MESSAGE))).toEqual(MESSAGE);
  });

  // Guards against loads that are lost because the use of accounts is malformed.
  it.each([
    ['no list', 5],
    ['a list of the wrong length', [1, 2, 1, 4]],
    ['a string', [1, 2, 1, 4, 'x', 6, 7, 8]],
    ['a negative number of instances', [-1, 2, 1]],
    ['a huge number of instances', [1e9, 2, 1]],
    ['a fraction of an instance', [0.5, 2, 1]],
  ])('ignores %s and keeps the rest of the message', (_name, accountUse) => {
    expect(decodeUse(accountUse)).toBeUndefined();
  });

  it.each([[-1], [Number.NaN], [Number.POSITIVE_INFINITY]])(
    'leaves out an account with the figure %d',
    (figure) => {
      const valid = [7, 1, 2, 3, 4];
      for (let field = 1; field < valid.length; field += 1) {
        const invalid = valid.with(field, figure);
        expect(decodeUse([1, 2, 1, ...invalid, ...valid])?.accounts).toHaveLength(1);
      }
    },
  );

  it('never throws and yields only figures of at least 0', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.array(fastCheck.double()), (elements) => {
        for (const use of decodeUse(elements)?.accounts ?? []) {
          for (const figure of [use.windowUse, use.level, use.demandPerSecond, use.agreedUse]) {
            expect(figure).toBeGreaterThanOrEqual(0);
            expect(Number.isFinite(figure)).toBe(true);
          }
        }
      }),
    );
  });
});
