import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';

import { DecodeLengthEstimator, MovingAverages } from './DecodeLengthEstimator.js';
import type { Call } from 'hickoryrelay-link/Call';

/** Engine time that one token takes, in milliseconds. */
export interface TokenRates {
  readonly prefillMilliseconds: number;
  readonly decodeMilliseconds: number;
}

/** Engine time that a call takes, in milliseconds. */
export interface CallCost {
  readonly prefill: number;
  readonly decode: number;
  readonly total: number;
}

const DEFAULT_SERVICE_MILLISECONDS = 50;

export function accountOf(call: Call): string {
  // Calls on open routes share one account, so that they cannot crowd out paying accounts.
  return call.accountName ?? '';
}

function decodeLimit(call: Call): number | undefined {
  if (call.kind !== WorkKind.Model) {
    return undefined;
  }
  const limit = call.parameters.max_completion_tokens ?? call.parameters.max_tokens;
  return typeof limit === 'number' && limit > 0 ? limit : undefined;
}

/** Told of the model work of a call when it arrives, and of the difference when it has ended. */
export type WorkObserver = (className: string, work: Omit<CallCost, 'total'>) => void;

/** Estimates the cost of calls from token counts, measured rates and past answers. */
export class CallCostModel {
  private readonly rates: () => TokenRates;

  private readonly cachedTokens: (call: Call) => number;

  private readonly observeWork: WorkObserver;

  private readonly decodeLengths = new DecodeLengthEstimator();

  private readonly serviceTimes = new MovingAverages();

  /**
   * @param rates the engines' measured rates.
   * @param cachedTokens prompt tokens of the call that a cached prefix saves.
   * @param observeWork told of the work of each call, of refused ones too.
   */
  constructor(
    rates: () => TokenRates,
    cachedTokens: (call: Call) => number,
    observeWork: WorkObserver = () => {},
  ) {
    this.rates = rates;
    this.cachedTokens = cachedTokens;
    this.observeWork = observeWork;
  }

  /** Expected length of the answer. */
  decodeTokens(call: Call): number {
    return this.decodeLengths.tokens(accountOf(call), call.className, decodeLimit(call));
  }

  /**
   * Estimates the cost of a call that has arrived. Once for each call, since its work is counted.
   */
  estimate(call: Call): CallCost {
    if (call.kind !== WorkKind.Model) {
      const total = this.serviceTimes.get(call.route) ?? DEFAULT_SERVICE_MILLISECONDS;
      return { prefill: 0, decode: total, total };
    }
    const tokens = this.decodeTokens(call);
    const cost = this.weigh(Math.max(0, call.promptTokens - this.cachedTokens(call)), tokens);
    this.observeWork(call.className, cost);
    return cost;
  }

  /** The cost of a call that has ended, with the prefill cost that was estimated. */
  settle(call: Call, estimate: CallCost, decodeTokens: number): CallCost {
    if (call.kind !== WorkKind.Model) {
      return estimate;
    }
    this.decodeLengths.record(accountOf(call), call.className, decodeTokens);
    const decode = decodeTokens * this.rates().decodeMilliseconds;
    this.observeWork(call.className, { prefill: 0, decode: decode - estimate.decode });
    return { prefill: estimate.prefill, decode, total: estimate.prefill + decode };
  }

  recordServiceTime(route: string, milliseconds: number): void {
    this.serviceTimes.record(route, milliseconds);
  }

  private weigh(prefillTokens: number, decodeTokens: number): CallCost {
    const { prefillMilliseconds, decodeMilliseconds } = this.rates();
    const prefill = prefillTokens * prefillMilliseconds;
    const decode = decodeTokens * decodeMilliseconds;
    return { prefill, decode, total: prefill + decode };
  }
}
