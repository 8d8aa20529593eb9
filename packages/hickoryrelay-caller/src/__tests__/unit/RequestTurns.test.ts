import { setImmediate as nextTurn } from 'node:timers/promises';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ArrivedRequest, RequestTurns } from 'hickoryrelay-caller/RequestTurns';

const CROWD = 200;

/** More turns of the event loop than any of the cases needs. */
const ENOUGH_TURNS = 1000;

class Request extends ArrivedRequest {
  override readonly hasEnded: boolean;

  private readonly name: string;

  private readonly begun: string[];

  constructor(name: string, begun: string[], hasEnded = false) {
    super();
    this.name = name;
    this.begun = begun;
    this.hasEnded = hasEnded;
  }

  override begin(): void {
    this.begun.push(this.name);
  }
}

async function passTurns(count: number, act: () => void = () => {}): Promise<void> {
  for (let turn = 0; turn < count; turn += 1) {
    act();
    await nextTurn();
  }
}

describe('RequestTurns', () => {
  it('begins a request at once while none waits', () => {
    const begun: string[] = [];
    new RequestTurns().enter('group', new Request('request', begun));
    expect(begun).toEqual(['request']);
  });

  // Guards against requests that wait behind a crowd on another route.
  it('begins a request of another group before the crowd that arrived first', async () => {
    const turns = new RequestTurns();
    const begun: string[] = [];
    for (let index = 0; index < CROWD; index += 1) {
      turns.enter('crowd', new Request('crowd', begun));
    }
    const before = begun.length;
    turns.enter('other', new Request('other', begun));
    await passTurns(ENOUGH_TURNS);
    expect(begun).toHaveLength(CROWD + 1);
    expect(begun.indexOf('other')).toBeLessThanOrEqual(before + 1);
  });

  // Guards against connections that wait in the operating system while the crowd before them is handled.
  it('begins one request for each four connections that are accepted', async () => {
    const turns = new RequestTurns();
    const begun: string[] = [];
    await passTurns(CROWD, () => {
      turns.recordConnection();
      turns.enter('crowd', new Request('crowd', begun));
    });
    expect(begun.length).toBeGreaterThanOrEqual(CROWD / 4);
    expect(begun.length).toBeLessThanOrEqual(CROWD / 4 + 4);
    await passTurns(ENOUGH_TURNS);
    expect(begun).toHaveLength(CROWD);
  });

  // Guards against connections without requests that keep requests waiting.
  it('goes on beginning requests while connections never stop arriving', async () => {
    const turns = new RequestTurns();
    const begun: string[] = [];
    for (let index = 0; index < CROWD; index += 1) {
      turns.enter('crowd', new Request('crowd', begun));
    }
    await passTurns(ENOUGH_TURNS, () => turns.recordConnection());
    expect(begun).toHaveLength(CROWD);
  });

  it('ends several requests that need no work in the turn of one', async () => {
    const turns = new RequestTurns();
    const begun: string[] = [];
    for (let index = 0; index < CROWD; index += 1) {
      turns.enter('ended', new Request('ended', begun, true));
    }
    const before = begun.length;
    await passTurns(2);
    expect(begun.length - before).toBeGreaterThan(8);
    expect(turns.waiting).toBe(CROWD - begun.length);
  });

  // Guards against requests that are held although their callers have left.
  it('forgets a request that is removed', async () => {
    const turns = new RequestTurns();
    const begun: string[] = [];
    const requests = Array.from({ length: CROWD }, () => new Request('crowd', begun));
    const waiting = requests.filter((request) => turns.enter('crowd', request));
    expect(waiting.map((request) => turns.remove('crowd', request))).not.toContain(false);
    expect(turns.waiting).toBe(0);
    expect(turns.remove('crowd', waiting[0] as Request)).toBe(false);
    await passTurns(ENOUGH_TURNS);
    expect(begun).toHaveLength(CROWD - waiting.length);
  });

  it('begins every request once, in order within its group', async () => {
    const arrivals = fc.array(
      fc.array(fc.record({ group: fc.nat({ max: 3 }), hasEnded: fc.boolean() }), { maxLength: 12 }),
      { maxLength: 30 },
    );
    await fc.assert(
      fc.asyncProperty(arrivals, async (groupsByTurn) => {
        const turns = new RequestTurns();
        const begun: string[] = [];
        const entered = new Map<number, string[]>();
        for (const requests of groupsByTurn) {
          for (const { group, hasEnded } of requests) {
            const names = entered.get(group) ?? [];
            const name = `${group}-${names.length}`;
            entered.set(group, [...names, name]);
            turns.enter(String(group), new Request(name, begun, hasEnded));
          }
          await nextTurn();
        }
        await passTurns(ENOUGH_TURNS);
        expect(turns.waiting).toBe(0);
        for (const [group, names] of entered) {
          expect(begun.filter((name) => name.startsWith(`${group}-`))).toEqual(names);
        }
      }),
      { numRuns: 50 },
    );
  });
});
