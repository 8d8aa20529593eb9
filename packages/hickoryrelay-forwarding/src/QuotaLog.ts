import { isAgreement } from 'hickoryrelay-quota/AgreedShare';

import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { Coverage } from 'hickoryrelay-quota/AgreedShare';

/** Shortest time between two lines on the refusals of one account. */
const REFUSAL_LOG_MILLISECONDS = 10_000;

interface Refusals {
  requests: number;
  units: number;
  loggedMilliseconds: number;
}

/** Logs refusals over quota, sampled by account, and when quotas are divided because peers are silent. */
export class QuotaLog {
  private readonly log: ComponentLogger;

  private readonly refusals = new Map<string, Refusals>();

  private wasAgreement = true;

  constructor(log: ComponentLogger) {
    this.log = log;
  }

  /** Records that a request was refused. */
  recordRefusal(account: string, units: number, now: number): void {
    let refusals = this.refusals.get(account);
    if (refusals === undefined) {
      refusals = { requests: 0, units: 0, loggedMilliseconds: Number.NEGATIVE_INFINITY };
      this.refusals.set(account, refusals);
    }
    refusals.requests += 1;
    refusals.units += units;
    if (now - refusals.loggedMilliseconds >= REFUSAL_LOG_MILLISECONDS) {
      this.log.info('Requests of an account were refused because it is over its quota.', {
        account,
        requests: refusals.requests,
        units: refusals.units,
      });
      Object.assign(refusals, { requests: 0, units: 0, loggedMilliseconds: now });
    }
  }

  /** Records how many of the instances are heard. */
  recordCoverage(coverage: Coverage): void {
    const isAgreed = isAgreement(coverage);
    if (isAgreed === this.wasAgreement) {
      return;
    }
    this.wasAgreement = isAgreed;
    const { heardInstances, listedInstances } = coverage;
    if (isAgreed) {
      this.log.info('The quotas of accounts apply to all instances together again.', {
        heardInstances,
        listedInstances,
      });
    } else {
      this.log.warn('Instances are silent; the quotas of accounts are limited to a share.', {
        heardInstances,
        listedInstances,
      });
    }
  }
}
