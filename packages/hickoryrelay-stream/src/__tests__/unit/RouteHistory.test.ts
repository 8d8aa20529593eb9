import { describe, expect, test } from 'vitest';
import { HISTORY_MILLISECONDS } from 'hickoryrelay-stream/ObservationPeriod';
import { RouteHistory } from 'hickoryrelay-stream/RouteHistory';

import type { RouteTable } from 'hickoryrelay-stream/RouteHistory';

const BOUND = 2000;
const LATER = 2 * HISTORY_MILLISECONDS;

/** A table of paths and the services to which each is sent. */
function makeTable(services: Readonly<Record<string, readonly string[]>>): RouteTable {
  return {
    servicesFingerprint: JSON.stringify(services),
    servicesFor: (_host, path) => services[path] ?? [],
  };
}

const ONE = makeTable({ '/a': ['desk'], '/b': ['desk'] });
const MOVED = makeTable({ '/a': ['other'], '/b': ['desk'] });

function observe(history: RouteHistory, table: RouteTable, from: number, to: number): void {
  for (let now = from; now <= to; now += BOUND / 2) {
    history.observe(table, now, 0);
  }
}

const target = (path: string, ...services: string[]) => ({ host: 'h', path, services });

describe('RouteHistory', () => {
  test('knows the service of a path that has had no other one', () => {
    const history = new RouteHistory(BOUND);
    observe(history, ONE, 0, LATER);
    expect(history.hasSoleService(target('/a', 'desk'), LATER)).toBe(true);
    expect(history.hasSoleService(target('/a', 'desk', 'other'), LATER)).toBe(false);
    expect(history.hasSoleService(target('/a', 'other'), LATER)).toBe(false);
    expect(history.hasSoleService(target('/a'), LATER)).toBe(false);
  });

  test('knows none before it has watched for the history, or with a view that is not current', () => {
    const history = new RouteHistory(BOUND);
    observe(history, ONE, 0, HISTORY_MILLISECONDS - 1);
    const desk = target('/a', 'desk');
    expect(history.hasSoleService(desk, HISTORY_MILLISECONDS - 1)).toBe(false);
    observe(history, ONE, HISTORY_MILLISECONDS, HISTORY_MILLISECONDS);
    expect(history.hasSoleService(desk, HISTORY_MILLISECONDS)).toBe(true);
    expect(history.hasSoleService(desk, HISTORY_MILLISECONDS + BOUND + 1)).toBe(false);
    observe(history, ONE, HISTORY_MILLISECONDS + BOUND + 1, HISTORY_MILLISECONDS + BOUND + 1);
    expect(history.hasSoleService(desk, HISTORY_MILLISECONDS + BOUND + 1)).toBe(false);
  });

  test('knows none of a path that has moved, until the move is older than the history', () => {
    const history = new RouteHistory(BOUND);
    observe(history, ONE, 0, LATER);
    expect(history.observe(MOVED, LATER, 0)).toBe(true);
    expect(history.hasSoleService(target('/a', 'other'), LATER)).toBe(false);
    expect(history.hasSoleService(target('/b', 'desk'), LATER)).toBe(true);
    const end = LATER + HISTORY_MILLISECONDS + 2 * BOUND;
    observe(history, MOVED, LATER, end);
    expect(history.hasSoleService(target('/a', 'other'), end)).toBe(true);
  });

  // Guards against a path that a removed route has given back.
  test('knows none of a path that was elsewhere for a moment', () => {
    const history = new RouteHistory(BOUND);
    observe(history, ONE, 0, LATER);
    observe(history, MOVED, LATER, LATER);
    observe(history, ONE, LATER + 1000, LATER + 5000);
    expect(history.hasSoleService(target('/a', 'desk'), LATER + 5000)).toBe(false);
  });

  test('knows none once it has dropped a table within the history', () => {
    const history = new RouteHistory(BOUND);
    observe(history, ONE, 0, LATER);
    for (let change = 0; change < 17; change += 1) {
      const table = makeTable({ '/a': ['desk'], '/c': [`service-${change}`] });
      history.observe(table, LATER + change, 0);
    }
    expect(history.hasSoleService(target('/a', 'desk'), LATER + 17)).toBe(false);
  });
});
