import { ClassOfWork, WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { TOKENS_PER_PREFIX_KEY } from 'hickoryrelay-endpoint/PrefixIndex';
import { ModelOperation } from 'hickoryrelay-link/Call';

import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { ModelCall } from 'hickoryrelay-link/Call';

export const MODEL = 'plumb-large';

/** The model classes of the sample declarations of Foucault. */
export const CLASSES: ReadonlyMap<string, ClassOfWork> = new Map(
  [
    new ClassOfWork({
      name: 'quick-ask',
      kind: WorkKind.Model,
      models: [MODEL],
      targets: {
        lateness: { firstTokenMilliseconds: 1500, betweenTokensMilliseconds: 48 },
        loss: 0.02,
        cost: 0.3,
      },
    }),
    new ClassOfWork({
      name: 'rig-brief',
      kind: WorkKind.Model,
      models: [MODEL],
      targets: {
        lateness: { firstTokenMilliseconds: 4000, betweenTokensMilliseconds: 80 },
        loss: 0.01,
        cost: 0.6,
      },
    }),
  ].map((work) => [work.name, work]),
);

/** Engine time by which demand is stated: 20,000 prompt tokens and 667 output tokens a second. */
const PREFILL_MILLISECONDS = 0.05;
const DECODE_MILLISECONDS = 1.5;

const QUICK = { prompt: 400, answer: 150 };
const BRIEF = { shared: 16_384, prompt: 18_400, answer: 250 };
const VENUES_PER_ACCOUNT = 6;
const SHORTEST_ANSWER = 8;

export function nominalCost(promptTokens: number, answerTokens: number): number {
  return promptTokens * PREFILL_MILLISECONDS + answerTokens * DECODE_MILLISECONDS;
}

const QUICK_COST = nominalCost(QUICK.prompt, QUICK.answer);
const BRIEF_COST = nominalCost(BRIEF.prompt, BRIEF.answer);

/** Share of long briefs among the calls at which prompts are the given part of the work. */
export function briefShare(prefillPart: number): number {
  const quickPrefill = QUICK.prompt * PREFILL_MILLISECONDS;
  const briefPrefill = BRIEF.prompt * PREFILL_MILLISECONDS;
  return (
    (prefillPart * QUICK_COST - quickPrefill) /
    (briefPrefill - quickPrefill - prefillPart * (BRIEF_COST - QUICK_COST))
  );
}

/** A call with the length of the answer that the engine will give. */
export interface PlannedCall {
  readonly call: ModelCall;
  readonly answerTokens: number;
}

/** Seeded arrivals of calls. */
export class Workload {
  private readonly random: RandomSource;

  private made = 0;

  constructor(random: RandomSource) {
    this.random = random;
  }

  /** Calls of one account in one time step, of the given engine time a second on average. */
  *arrivals(
    account: string,
    costPerSecond: number,
    prefillPart: number,
    now: number,
    stepMilliseconds: number,
  ): Generator<PlannedCall, void, void> {
    const share = briefShare(prefillPart);
    const meanCost = share * BRIEF_COST + (1 - share) * QUICK_COST;
    const expected = ((costPerSecond / meanCost) * stepMilliseconds) / 1000;
    // Several calls in one step of a few milliseconds are rare enough to draw them one by one.
    for (let rest = expected; rest > 0; rest -= 1) {
      if (this.random.fraction() < Math.min(1, rest)) {
        yield this.call(account, this.random.fraction() < share, now);
      }
    }
  }

  private call(account: string, isBrief: boolean, now: number): PlannedCall {
    this.made += 1;
    const spread = 0.5 + this.random.fraction();
    const shared = isBrief ? BRIEF.shared : 0;
    const own = (isBrief ? BRIEF.prompt - BRIEF.shared : QUICK.prompt) * spread;
    const venue = this.random.integerBelow(VENUES_PER_ACCOUNT);
    const mean = isBrief ? BRIEF.answer : QUICK.answer;
    const answer = -Math.log(1 - this.random.fraction()) * (mean - SHORTEST_ANSWER);
    const prefixKeys = Array.from(
      { length: shared / TOKENS_PER_PREFIX_KEY },
      (empty, index) => `${account}/${venue}/${index}`,
    );
    const call: ModelCall = {
      kind: WorkKind.Model,
      requestIdentifier: `call-${this.made}`,
      accountName: account,
      keyIdentifier: undefined,
      className: isBrief ? 'rig-brief' : 'quick-ask',
      arrivalMilliseconds: now,
      deadlineMilliseconds: now + 600_000,
      isIdempotent: true,
      idempotencyKey: undefined,
      operation: ModelOperation.Completions,
      model: MODEL,
      parameters: {},
      isStreaming: true,
      includesUsage: false,
      promptTokens: Math.round(shared + own),
      prefixKeys,
    };
    return { call, answerTokens: Math.round(SHORTEST_ANSWER + answer) };
  }
}
