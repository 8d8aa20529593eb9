import { CallCosts } from 'hickoryrelay-admission/CallCosts';
import { MovingAverages } from 'hickoryrelay-admission/MovingAverages';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';

import { DecodeLengthEstimator } from './DecodeLengthEstimator.js';

import type { CallCost } from 'hickoryrelay-admission/CallCosts';
import type { WaitingCall } from 'hickoryrelay-admission/WaitingCall';
import type { Call } from 'hickoryrelay-link/Call';

/** Engine time per token, in milliseconds. */
export interface TokenRates {
  readonly prefillMilliseconds: number;
  readonly decodeMilliseconds: number;
}

const DEFAULT_SERVICE_TIME_MILLISECONDS = 50;

export function accountOf(call: Call): string {
  // Calls on open routes share one account, so that they cannot crowd out paying accounts.
  return call.accountName ?? '';
}

function maximumDecodeTokens(call: Call): number | undefined {
  if (call.kind !== WorkKind.Model) {
    return undefined;
  }
  const limit = call.parameters.max_completion_tokens ?? call.parameters.max_tokens;
  return typeof limit === 'number' && limit > 0 ? limit : undefined;
}

function destinationOf(call: Call): string {
  return call.kind === WorkKind.Model ? `model ${call.model}` : `route ${call.route}`;
}

/** Receives the estimated work of a model call on arrival, and the correction when it has ended. */
export type WorkObserver = (className: string, work: Omit<CallCost, 'total'>) => void;

/** Estimates the cost of calls from token counts, measured engine rates and past responses. */
export class CallCostModel extends CallCosts<Call> {
  private readonly rates: () => TokenRates;

  private readonly cachedTokens: (call: Call) => number;

  private readonly observeWork: WorkObserver;

  private readonly decodeLengths = new DecodeLengthEstimator();

  private readonly serviceTimes = new MovingAverages();

  /**
   * @param rates returns the measured rates of the engines.
   * @param cachedTokens returns the number of prompt tokens of the call covered by a cached prefix.
   * @param observeWork receives the work of every call, including rejected ones.
   */
  constructor(
    rates: () => TokenRates,
    cachedTokens: (call: Call) => number,
    observeWork: WorkObserver = () => {},
  ) {
    super();
    this.rates = rates;
    this.cachedTokens = cachedTokens;
    this.observeWork = observeWork;
  }

  override describe(call: Call): WaitingCall {
    const { className, arrivalMilliseconds } = call;
    const [account, destination] = [accountOf(call), destinationOf(call)];
    return { account, destination, className, priority: 0, arrivalMilliseconds };
  }

  /** Expected length of the response in tokens. */
  decodeTokens(call: Call): number {
    return this.decodeLengths.tokens(accountOf(call), call.className, maximumDecodeTokens(call));
  }

  /**
   * Estimates the cost of an arriving call and reports its work, so it must be called once per
   * call.
   */
  override estimate(call: Call): CallCost {
    if (call.kind !== WorkKind.Model) {
      const total = this.serviceTimes.get(call.route) ?? DEFAULT_SERVICE_TIME_MILLISECONDS;
      return { prefill: 0, decode: total, total };
    }
    const tokens = this.decodeTokens(call);
    const cost = this.costOfTokens(
      Math.max(0, call.promptTokens - this.cachedTokens(call)),
      tokens,
    );
    this.observeWork(call.className, cost);
    return cost;
  }

  /** Returns the actual cost of a call that has ended. The prefill cost stays as estimated. */
  override settle(call: Call, estimate: CallCost, decodeTokens: number): CallCost {
    if (call.kind !== WorkKind.Model) {
      return estimate;
    }
    this.decodeLengths.record(accountOf(call), call.className, decodeTokens);
    const decode = decodeTokens * this.rates().decodeMilliseconds;
    this.observeWork(call.className, { prefill: 0, decode: decode - estimate.decode });
    return { prefill: estimate.prefill, decode, total: estimate.prefill + decode };
  }

  override recordRunTime(call: Call, milliseconds: number): void {
    if (call.kind === WorkKind.Service) {
      this.serviceTimes.record(call.route, milliseconds);
    }
  }

  private costOfTokens(prefillTokens: number, decodeTokens: number): CallCost {
    const { prefillMilliseconds, decodeMilliseconds } = this.rates();
    const prefill = prefillTokens * prefillMilliseconds;
    const decode = decodeTokens * decodeMilliseconds;
    return { prefill, decode, total: prefill + decode };
  }
}
