import { isValidUse } from 'hickoryrelay-quota/AccountUse';

import type { AccountUse, AccountUseReport } from 'hickoryrelay-quota/AccountUse';

const HEADER_FIELD_COUNT = 3;
const USE_FIELD_COUNT = 5;

/** Figures are sent in hundredths, since integers take less space than fractions. */
const STEPS_PER_UNIT = 100;

/** No deployment has as many instances; greater numbers come from a faulty peer. */
const MAXIMUM_INSTANCES = 100_000;

/**
 * Encodes the use of accounts as a flat list: instances, time, completeness, and five numbers for each
 * account.
 */
export function encodeAccountUse({
  instances,
  sentMilliseconds,
  isComplete,
  accounts,
}: AccountUseReport): number[] {
  return [
    instances,
    sentMilliseconds,
    isComplete ? 1 : 0,
    ...accounts.flatMap(({ account, windowUse, level, demandPerSecond, agreedUse }) => [
      account,
      ...[windowUse, level, demandPerSecond, agreedUse].map((units) =>
        Math.round(units * STEPS_PER_UNIT),
      ),
    ]),
  ];
}

/**
 * Decodes the use of accounts. Returns undefined for a malformed list, and leaves out accounts with
 * figures that are negative or not finite.
 */
export function decodeAccountUse(elements: unknown): AccountUseReport | undefined {
  if (
    !Array.isArray(elements) ||
    (elements.length - HEADER_FIELD_COUNT) % USE_FIELD_COUNT !== 0 ||
    !elements.every((element) => typeof element === 'number')
  ) {
    return undefined;
  }
  const [instances = 0, sentMilliseconds = 0, completeness] = elements;
  if (
    !Number.isSafeInteger(instances) ||
    !Number.isSafeInteger(sentMilliseconds) ||
    instances < 0 ||
    instances > MAXIMUM_INSTANCES
  ) {
    return undefined;
  }
  const accounts: AccountUse[] = [];
  for (let index = HEADER_FIELD_COUNT; index < elements.length; index += USE_FIELD_COUNT) {
    const [account = 0, windowUse = 0, level = 0, demandPerSecond = 0, agreedUse = 0] =
      elements.slice(index, index + USE_FIELD_COUNT);
    const use = {
      account,
      windowUse: windowUse / STEPS_PER_UNIT,
      level: level / STEPS_PER_UNIT,
      demandPerSecond: demandPerSecond / STEPS_PER_UNIT,
      agreedUse: agreedUse / STEPS_PER_UNIT,
    };
    if (isValidUse(use)) {
      accounts.push(use);
    }
  }
  return { instances, sentMilliseconds, isComplete: completeness === 1, accounts };
}
