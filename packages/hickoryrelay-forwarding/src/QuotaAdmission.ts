import type { ForwardedRequest } from './ForwardedRequest.js';
import type { AccountGrant } from './ForwardingConfiguration.js';
import type { QuotaLog } from './QuotaLog.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { AccountQuotas, QuotaDecision } from 'hickoryrelay-quota/AccountQuotas';

const REQUEST_COST = 1;

/** Applies the quotas of accounts to requests whose access key is known. */
export class QuotaAdmission {
  private readonly quotas: AccountQuotas;

  private readonly clock: Clock;

  private readonly log: QuotaLog;

  constructor(quotas: AccountQuotas, clock: Clock, log: QuotaLog) {
    this.quotas = quotas;
    this.clock = clock;
    this.log = log;
  }

  /** Takes the cost of a request. Undefined if its account has no quota. */
  tryTake(
    { account, quota }: AccountGrant,
    { declaredTokens }: ForwardedRequest,
  ): QuotaDecision | undefined {
    if (quota === undefined) {
      return undefined;
    }
    const cost = quota.countsTokens ? (declaredTokens ?? quota.plainTokens) : REQUEST_COST;
    const now = this.clock.monotonicMilliseconds();
    const decision = this.quotas.tryTake(account, cost, now);
    if (decision.kind === 'refused') {
      this.log.recordRefusal(account, cost, now);
    }
    this.log.recordCoverage(this.quotas.coverage);
    return decision;
  }
}
