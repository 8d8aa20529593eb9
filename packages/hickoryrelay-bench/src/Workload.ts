import { ClassOfWork, WorkKind } from 'hickoryrelay-contract/ClassOfWork';
import { TOKENS_PER_PREFIX_KEY } from 'hickoryrelay-endpoint/PrefixIndex';
import { ModelOperation } from 'hickoryrelay-link/Call';

import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { ModelCall } from 'hickoryrelay-link/Call';

export const MODEL = 'plumb-large';

/** The model classes of `examples/foucault/declarations.yaml`. */
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

/** Nominal engine speed for stating demand: 20,000 prompt or 667 output tokens per second. */
const PROMPT_TOKEN_MILLISECONDS = 0.05;
const OUTPUT_TOKEN_MILLISECONDS = 1.5;

const QUICK_TOKENS = { prompt: 400, answer: 150 };
const BRIEF_TOKENS = { shared: 16_384, prompt: 18_400, answer: 250 };
const SHARED_PREFIXES_PER_ACCOUNT = 6;
const MIN_ANSWER_TOKENS = 8;

export function nominalCost(promptTokens: number, answerTokens: number): number {
  return promptTokens * PROMPT_TOKEN_MILLISECONDS + answerTokens * OUTPUT_TOKEN_MILLISECONDS;
}

const QUICK_COST = nominalCost(QUICK_TOKENS.prompt, QUICK_TOKENS.answer);
const BRIEF_COST = nominalCost(BRIEF_TOKENS.prompt, BRIEF_TOKENS.answer);

/** Share of long briefs among calls that makes prefill the given share of the work. */
export function briefShare(prefillShare: number): number {
  const quickPrefill = QUICK_TOKENS.prompt * PROMPT_TOKEN_MILLISECONDS;
  const briefPrefill = BRIEF_TOKENS.prompt * PROMPT_TOKEN_MILLISECONDS;
  return (
    (prefillShare * QUICK_COST - quickPrefill) /
    (briefPrefill - quickPrefill - prefillShare * (BRIEF_COST - QUICK_COST))
  );
}

/** A call and the length of the answer that the engine generates. */
export interface PlannedCall {
  readonly call: ModelCall;
  readonly answerTokens: number;
}

/** Generates random call arrivals. */
export class Workload {
  private readonly random: RandomSource;

  private callCount = 0;

  constructor(random: RandomSource) {
    this.random = random;
  }

  /** Calls of one account in one time step that demand `costPerSecond` on average. */
  *arrivals(
    account: string,
    costPerSecond: number,
    prefillShare: number,
    nowMilliseconds: number,
    stepMilliseconds: number,
  ): Generator<PlannedCall, void, void> {
    const shareOfBriefs = briefShare(prefillShare);
    const meanCost = shareOfBriefs * BRIEF_COST + (1 - shareOfBriefs) * QUICK_COST;
    const expected = ((costPerSecond / meanCost) * stepMilliseconds) / 1000;
    // More than one call per step of a few milliseconds is rare, so each is drawn separately.
    for (let remaining = expected; remaining > 0; remaining -= 1) {
      if (this.random.fraction() < Math.min(1, remaining)) {
        yield this.call(account, this.random.fraction() < shareOfBriefs, nowMilliseconds);
      }
    }
  }

  private call(account: string, isBrief: boolean, nowMilliseconds: number): PlannedCall {
    this.callCount += 1;
    const spread = 0.5 + this.random.fraction();
    const sharedTokens = isBrief ? BRIEF_TOKENS.shared : 0;
    const ownTokens =
      (isBrief ? BRIEF_TOKENS.prompt - BRIEF_TOKENS.shared : QUICK_TOKENS.prompt) * spread;
    const sharedPrefix = this.random.integerBelow(SHARED_PREFIXES_PER_ACCOUNT);
    const meanAnswerTokens = isBrief ? BRIEF_TOKENS.answer : QUICK_TOKENS.answer;
    const variableAnswerTokens =
      -Math.log(1 - this.random.fraction()) * (meanAnswerTokens - MIN_ANSWER_TOKENS);
    const prefixKeys = Array.from(
      { length: sharedTokens / TOKENS_PER_PREFIX_KEY },
      (empty, index) => `${account}/${sharedPrefix}/${index}`,
    );
    const call: ModelCall = {
      kind: WorkKind.Model,
      requestIdentifier: `call-${this.callCount}`,
      accountName: account,
      keyIdentifier: undefined,
      className: isBrief ? 'rig-brief' : 'quick-ask',
      arrivalMilliseconds: nowMilliseconds,
      deadlineMilliseconds: nowMilliseconds + 600_000,
      isIdempotent: true,
      idempotencyKey: undefined,
      operation: ModelOperation.Completions,
      model: MODEL,
      parameters: {},
      isStreaming: true,
      includesUsage: false,
      promptTokens: Math.round(sharedTokens + ownTokens),
      prefixKeys,
    };
    return { call, answerTokens: Math.round(MIN_ANSWER_TOKENS + variableAnswerTokens) };
  }
}
