import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';

import {
  MAXIMUM_OPEN_HOPS,
  UNABLE_MILLISECONDS,
  FIRST_UNREACHED_MILLISECONDS,
  MAXIMUM_UNREACHED_MILLISECONDS,
} from '../../RelayTarget.js';
import { MAXIMUM_CANDIDATES, RelayTargets } from '../../RelayTargets.js';

/** `FUZZ_SEED` plays other sequences. */
const SEED = Number(process.env.FUZZ_SEED ?? 20_261_208);
const SERVICES = ['chat', 'desk'] as const;
const RECEIVERS = Array.from({ length: 6 }, (_, index) => ({
  instance: `instance-${index}`,
  zone: index % 3 === 2 ? 'there' : 'here',
  host: '127.0.0.1',
  port: 7000 + index,
}));

const actions = fc.tuple(
  fc.constantFrom('serve', 'serve', 'unable', 'unreached', 'end', 'list', 'wait'),
  fc.nat(63),
  fc.constantFrom(...SERVICES),
);

describe('RelayTargets in any sequence of outcomes', () => {
  // Guards against an instance that is flooded, asked twice for a request, or asked too early again.
  it('asks each of at most three instances once, and none that may not be asked', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(actions, { maxLength: 80 }), fc.integer(), async (steps, seed) => {
        const clock = new ManualClock();
        const self = { instance: 'instance-0', zone: 'here' };
        const targets = new RelayTargets({ self, clock, random: new SeededRandomSource(seed) });
        const listed = new Set<string>();
        const blockedUntil = new Map<string, number>();
        const unreachedMilliseconds = new Map<string, number>();
        const openHops: { readonly instance: string; readonly end: () => void }[] = [];
        const hopsOf = (instance: string) =>
          openHops.filter((hop) => hop.instance === instance).length;
        const mayBeAsked = (instance: string, service: string) =>
          listed.has(instance) &&
          hopsOf(instance) < MAXIMUM_OPEN_HOPS &&
          [instance, `${instance}/${service}`].every(
            (key) => (blockedUntil.get(key) ?? 0) <= clock.monotonicMilliseconds(),
          );
        for (const [name, choice, service] of steps) {
          const now = clock.monotonicMilliseconds();
          if (name === 'wait') {
            await clock.advance(choice * 40);
          } else if (name === 'end') {
            openHops.splice(0, choice).forEach(({ end }) => end());
          } else if (name === 'list') {
            const receivers = RECEIVERS.filter((_, index) => ((choice >> index) & 1) === 1);
            targets.setReceivers(receivers);
            listed.clear();
            receivers.forEach(({ instance }) => listed.add(instance));
            listed.delete(self.instance);
            const isKept = (instance: string) =>
              listed.has(instance) ||
              hopsOf(instance) > 0 ||
              [instance, ...SERVICES.map((each) => `${instance}/${each}`)].some(
                (key) => (blockedUntil.get(key) ?? 0) > now,
              );
            [...unreachedMilliseconds.keys()]
              .filter((instance) => !isKept(instance))
              .forEach((instance) => unreachedMilliseconds.delete(instance));
          } else {
            const asked = new Set<string>();
            for (const receiver of targets.candidates(service)) {
              const { instance, zone } = receiver;
              expect(asked).not.toContain(instance);
              expect(mayBeAsked(instance, service)).toBe(true);
              const isLast = asked.size === MAXIMUM_CANDIDATES - 1;
              const askedZones = RECEIVERS.filter((other) => asked.has(other.instance)).map(
                (other) => other.zone,
              );
              const rankOf = (candidate: string) =>
                (isLast && askedZones.includes(candidate) ? 2 : 0) +
                (candidate === self.zone ? 0 : 1);
              const possibleRivals = RECEIVERS.filter(
                (other) => !asked.has(other.instance) && mayBeAsked(other.instance, service),
              );
              const rank = Math.min(...possibleRivals.map((other) => rankOf(other.zone)));
              expect(rankOf(zone)).toBe(rank);
              const rivals = possibleRivals.filter((other) => rankOf(other.zone) === rank);
              expect(Math.min(...rivals.map((other) => hopsOf(other.instance)))).toBe(
                hopsOf(instance),
              );
              asked.add(instance);
              if (name === 'serve') {
                const room = MAXIMUM_OPEN_HOPS - hopsOf(instance);
                for (let hop = 0; hop < Math.min(room, choice + 1); hop += 1) {
                  openHops.push({ instance, end: targets.begin(receiver) });
                }
              } else if (name === 'unable') {
                targets.recordUnable(receiver, service);
                blockedUntil.set(`${instance}/${service}`, now + UNABLE_MILLISECONDS);
              } else {
                targets.recordUnreached(receiver);
                const milliseconds =
                  unreachedMilliseconds.get(instance) ?? FIRST_UNREACHED_MILLISECONDS;
                blockedUntil.set(instance, now + milliseconds);
                unreachedMilliseconds.set(
                  instance,
                  Math.min(milliseconds * 2, MAXIMUM_UNREACHED_MILLISECONDS),
                );
              }
            }
            const possible = RECEIVERS.filter(
              ({ instance }) => !asked.has(instance) && mayBeAsked(instance, service),
            );
            expect(asked.size === MAXIMUM_CANDIDATES || possible.length === 0).toBe(true);
          }
        }
      }),
      { seed: SEED, numRuns: 300 },
    );
  });
});
