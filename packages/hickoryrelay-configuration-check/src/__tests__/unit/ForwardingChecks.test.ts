import { describe, expect, it } from 'vitest';
import { runChecks } from 'hickoryrelay-configuration-check/ConfigurationCheck';
import { FORWARDING_CHECKS } from 'hickoryrelay-configuration-check/ForwardingChecks';
import { RetrySemantics } from 'hickoryrelay-forwarding/ForwardingConfiguration';

import type {
  CheckedForwarding,
  CheckedRoute,
} from 'hickoryrelay-configuration-check/CheckedForwarding';
import type {
  ForwardingService,
  SupplyBounds,
} from 'hickoryrelay-forwarding/ForwardingConfiguration';

const ROUTE: CheckedRoute = {
  name: 'look',
  host: 'h.example',
  prefix: '/look/',
  retrySemantics: RetrySemantics.Idempotent,
  isStreaming: false,
  timeoutMilliseconds: 5000,
  latencyTargetMilliseconds: 200,
  eventGapTargetMilliseconds: 0,
  priority: 0,
  services: [{ service: 'desk', weight: 1 }],
  maximumAttempts: 1,
  allowsAnonymous: false,
  hasKnownKind: true,
  isMarkedResumable: false,
  ignoresService: false,
};

const SERVICE: ForwardingService = { name: 'desk', maximumConnections: 10 };

const SUPPLY: SupplyBounds = {
  minimum: 1,
  maximum: 4,
  reclaimablePrice: 0.5,
  zonePrices: new Map(),
};

const CLEAN: CheckedForwarding = {
  routes: [ROUTE],
  services: [SERVICE],
  limits: {
    headerBytes: 16_384,
    bodyBytes: 4_194_304,
    headerTimeoutMilliseconds: 3000,
    idleTimeoutMilliseconds: 15_000,
  },
  accounts: [{ name: 'first', keys: ['key-1'] }],
};

const withRoute = (changes: Partial<CheckedRoute>) => ({ routes: [{ ...ROUTE, ...changes }] });
const withService = (changes: Partial<ForwardingService>) => ({
  services: [{ ...SERVICE, ...changes }],
});

function findingsOf(changes: Partial<CheckedForwarding>): string[] {
  return runChecks(FORWARDING_CHECKS, { ...CLEAN, ...changes }).map(
    ({ severity, kind, section, name, message }) =>
      `${severity} ${kind} ${section} ${name}: ${message}`,
  );
}

type Case = readonly [string, Partial<CheckedForwarding>, readonly string[]];

const ROUTE_CASES: readonly Case[] = [
  ['nothing', {}, []],
  [
    'a longer prefix below another one',
    { routes: [ROUTE, { ...ROUTE, name: 'b', prefix: '/look/b/' }] },
    [],
  ],
  [
    'the same prefix of another host',
    { routes: [ROUTE, { ...ROUTE, name: 'b', host: 'i.example' }] },
    [],
  ],
  [
    'routes with the same host and prefix',
    { routes: [ROUTE, { ...ROUTE, name: 'b' }, { ...ROUTE, name: 'c' }] },
    [
      'error unreachable route b: route look has the same host and prefix and always wins',
      'error unreachable route c: route look has the same host and prefix and always wins',
    ],
  ],
  [
    'routes with the same name',
    { routes: [ROUTE, { ...ROUTE, prefix: '/b/' }] },
    ['error invalid route look: the name is declared more than once'],
  ],
  [
    'a prefix without its first slash',
    withRoute({ prefix: 'look/' }),
    ['error unreachable route look: the prefix does not begin with a slash'],
  ],
  [
    'a prefix without its last slash',
    withRoute({ prefix: '/look' }),
    ['warning invalid route look: the prefix does not end with a slash, so it also matches /lookx'],
  ],
  [
    'an empty prefix',
    withRoute({ prefix: '' }),
    ['warning invalid route look: the prefix is empty and matches each path'],
  ],
  ...['', 'h.example:80', 'h.example/a', 'h example'].map((host): Case => [
    `host "${host}"`,
    withRoute({ host }),
    [
      'error unreachable route look: the host is empty, or has a port, a slash or a space, and is never matched',
    ],
  ]),
  [
    'a route that needs a key without accounts',
    { accounts: [] },
    ['warning unreachable route look: the route needs a key, and no account is declared'],
  ],
  [
    'an anonymous route without accounts',
    { accounts: [], ...withRoute({ allowsAnonymous: true }) },
    [],
  ],
  ['a configuration without keys', { accounts: undefined }, []],
  [
    'a route without a service',
    withRoute({ services: [{ service: '', weight: 1 }] }),
    [
      'error unreachable route look: the route names no service',
      'warning unused service desk: no route refers to the service',
    ],
  ],
  [
    'a route to a service that is not declared',
    { services: [] },
    ['error unreachable route look: service desk is not declared'],
  ],
  [
    'weights that are not above 0',
    withRoute({
      services: [
        { service: 'desk', weight: 0 },
        { service: 'desk', weight: -1 },
      ],
    }),
    [
      'warning unused route look: service desk has weight 0 and gets no request',
      'error invalid route look: the weight of service desk is negative',
      'error unreachable route look: no service has a weight above 0',
    ],
  ],
  [
    'a route without shares',
    { ...withRoute({ services: [] }), services: [] },
    ['error unreachable route look: no service has a weight above 0'],
  ],
  [
    'a service beside shares',
    withRoute({ ignoresService: true }),
    [
      'warning unused route look: shares of services are declared, so the one service has no effect',
    ],
  ],
  [
    'an unknown kind',
    withRoute({ hasKnownKind: false }),
    ['error invalid route look: the kind is unknown, and the route is treated as not idempotent'],
  ],
  [
    'times that are not above 0',
    withRoute({
      timeoutMilliseconds: 0,
      latencyTargetMilliseconds: 0,
      eventGapTargetMilliseconds: -1,
    }),
    [
      'error invalid route look: the timeout of 0 ms is not above 0',
      'error invalid route look: the latency target of 0 ms is not above 0',
      'error invalid route look: the target for gaps between events is negative',
    ],
  ],
  ...[0, -1, 1.5].map((maximumAttempts): Case => [
    `${maximumAttempts} attempts`,
    withRoute({ maximumAttempts }),
    [`error invalid route look: a maximum of ${maximumAttempts} attempts is not a number from 1`],
  ]),
  ...[-1, 10, 0.5].map((priority): Case => [
    `priority ${priority}`,
    withRoute({ priority }),
    [`warning invalid route look: priority ${priority} is not a whole number from 0 to 9`],
  ]),
  [
    'a timeout below the target',
    withRoute({ timeoutMilliseconds: 199 }),
    [
      'warning contradiction route look: the timeout of 199 ms is below the latency target of 200 ms',
    ],
  ],
  [
    'a target for gaps above the timeout',
    withRoute({ isStreaming: true, eventGapTargetMilliseconds: 5001 }),
    [
      'warning contradiction route look: the target of 5001 ms for gaps is above the timeout of 5000 ms',
    ],
  ],
  [
    'marks of streams on a plain route',
    withRoute({ eventGapTargetMilliseconds: 50, isMarkedResumable: true }),
    [
      'warning unused route look: the target for gaps between events has no effect, as the route has no streams',
      'warning unused route look: the mark as resumable has no effect, as the route has no streams',
    ],
  ],
];

const OTHER_CASES: readonly Case[] = [
  [
    'a service that no route refers to',
    { services: [SERVICE, { ...SERVICE, name: 'other' }] },
    ['warning unused service other: no route refers to the service'],
  ],
  [
    'services with the same name',
    { services: [SERVICE, SERVICE] },
    ['error invalid service desk: the name is declared more than once'],
  ],
  [
    'no connections',
    withService({ maximumConnections: 0 }),
    ['error invalid service desk: a maximum of 0 connections allows no request'],
  ],
  ['an engine', withService({ engine: { slots: 10, cacheCapacityTokens: 1 } }), []],
  [
    'an engine that runs nothing',
    withService({ engine: { slots: 0, cacheCapacityTokens: 0 } }),
    [
      'error invalid service desk: engines with 0 slots run no request',
      'error invalid service desk: engines with a cache for 0 tokens run no request',
    ],
  ],
  [
    'more slots than connections',
    withService({ engine: { slots: 11, cacheCapacityTokens: 1 } }),
    ['warning contradiction service desk: 11 slots are more than the maximum of 10 connections'],
  ],
  ['bounds that agree', withService({ supply: { ...SUPPLY, minimum: 4 } }), []],
  [
    'a minimum above the maximum',
    withService({ supply: { ...SUPPLY, minimum: 5 } }),
    ['error contradiction service desk: the minimum of 5 endpoints is above the maximum of 4'],
  ],
  [
    'negative bounds and prices',
    withService({
      supply: {
        minimum: -1,
        maximum: 4,
        reclaimablePrice: -1,
        zonePrices: new Map([['z', -2]]),
      },
    }),
    [
      'error invalid service desk: a bound of the scaling is negative',
      'error invalid service desk: the price of a reclaimable endpoint is negative',
      'error invalid service desk: the price in zone z is negative',
    ],
  ],
  [
    'a used service without endpoints',
    withService({ supply: { ...SUPPLY, minimum: 0, maximum: 0 } }),
    [
      'warning contradiction service desk: a route uses the service, and no endpoint of it may be ordered',
    ],
  ],
  [
    'an account without keys',
    { accounts: [{ name: 'first', keys: [] }] },
    ['warning unreachable account first: the account has no keys'],
  ],
  [
    'accounts with the same name',
    {
      accounts: [
        { name: 'first', keys: ['a'] },
        { name: 'first', keys: ['b'] },
      ],
    },
    ['error invalid account first: the name is declared more than once'],
  ],
  [
    'an empty key',
    { accounts: [{ name: 'first', keys: [''] }] },
    ['error invalid account first: a key is empty'],
  ],
  [
    'a priority of an account that no endpoint takes',
    { accounts: [{ name: 'first', keys: ['a'], priority: 10 }] },
    ['warning invalid account first: priority 10 is not a whole number from 0 to 9'],
  ],
  [
    'limits that allow no request',
    {
      limits: {
        headerBytes: 0,
        bodyBytes: -1,
        headerTimeoutMilliseconds: 0,
        idleTimeoutMilliseconds: 0,
      },
    },
    [
      'error invalid limits limits: the maximum size of headers of 0 is not above 0',
      'error invalid limits limits: the timeout for headers of 0 is not above 0',
      'error invalid limits limits: the idle timeout of 0 is not above 0',
      'error invalid limits limits: the maximum size of a body is negative',
    ],
  ],
  ['a body that fits into the memory', { memoryBytes: 4_210_688 }, []],
  [
    'a body that exceeds the memory',
    { memoryBytes: 4_210_687 },
    [
      'error contradiction limits limits: one request of 4210688 bytes exceeds the memory of 4210687',
    ],
  ],
];

// Guards against a configuration that is accepted and of which a part can never have an effect.
describe('the checks of a configuration of the forwarding program', () => {
  it.each(ROUTE_CASES)('find in routes %s', (_name, changes, findings) => {
    expect(findingsOf(changes)).toEqual(findings);
  });

  it.each(OTHER_CASES)('find %s', (_name, changes, findings) => {
    expect(findingsOf(changes)).toEqual(findings);
  });

  // Guards against access keys in reports.
  it('name a key that has two holders or is listed twice by its fingerprint', () => {
    const findings = findingsOf({
      accounts: [
        { name: 'first', keys: ['secret-key', 'secret-key'] },
        { name: 'second', keys: ['secret-key'] },
      ],
    });
    expect(findings).toEqual([
      expect.stringMatching(/^warning unused account first: key [0-9a-f]{8} is listed more/u),
      expect.stringMatching(
        /^error contradiction account second: key [0-9a-f]{8} is also that of/u,
      ),
    ]);
  });
});
