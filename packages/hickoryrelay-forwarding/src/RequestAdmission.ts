import { RETRY_AFTER_JITTER, RETRY_AFTER_MILLISECONDS } from './ForwardingLimits.js';

import type { CallTrace } from './CallTrace.js';
import type { ConfirmedView } from './ConfirmedView.js';
import type { ForwardedRequest } from './ForwardedRequest.js';
import type { AccountGrant, ForwardingRoute } from './ForwardingConfiguration.js';
import type { ForwardingLimits } from './ForwardingLimits.js';
import type { QuotaAdmission } from './QuotaAdmission.js';
import type { LocalResponse } from './ResponseSink.js';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { QuotaTake } from 'hickoryrelay-quota/QuotaTake';

const NOT_FOUND = 404;
const UNAUTHORIZED = 401;
const TOO_MANY_REQUESTS = 429;
const SERVICE_UNAVAILABLE = 503;

/** An admitted request, or the response that it gets instead. */
export type AdmissionResult =
  | {
      readonly kind: 'admitted';
      readonly route: ForwardingRoute;
      readonly service: string;
      readonly grant: AccountGrant | undefined;
      /** Present if the account has a quota. */
      readonly quotaTake?: QuotaTake;
    }
  | { readonly kind: 'answered'; readonly own: LocalResponse };

/** Adds jitter to a retry delay, so that refused callers do not return together. */
export function addRetryAfterJitter(milliseconds: number, random: RandomSource): number {
  return milliseconds * (1 + random.fraction() * RETRY_AFTER_JITTER);
}

/** Decides from the confirmed view whether a request may run, and for which account. */
export class RequestAdmission {
  private readonly view: ConfirmedView;

  private readonly limits: ForwardingLimits;

  private readonly random: RandomSource;

  private readonly quotas: QuotaAdmission | undefined;

  constructor(
    view: ConfirmedView,
    limits: ForwardingLimits,
    random: RandomSource,
    quotas?: QuotaAdmission,
  ) {
    this.view = view;
    this.limits = limits;
    this.random = random;
    this.quotas = quotas;
  }

  admit(request: ForwardedRequest, trace: CallTrace): AdmissionResult {
    const { configuration } = this.view;
    if (configuration === undefined) {
      return this.refuseUnavailable('no configuration is known yet');
    }
    const viewAge = this.view.configurationAgeAt(request.arrivedSuspensionMilliseconds);
    Object.assign(trace, {
      configurationVersion: configuration.version,
      viewAgeMilliseconds: viewAge,
    });
    const [path = ''] = request.target.split('?', 1);
    const route = configuration.findRoute(request.host, path);
    if (route === undefined) {
      return this.deny(viewAge, NOT_FOUND, 'no route takes this host and path');
    }
    Object.assign(trace, { route: route.name });
    let grant: AccountGrant | undefined;
    if (configuration.requiresKeys && !route.allowsAnonymous) {
      if (viewAge > this.limits.maximumViewAgeMilliseconds) {
        return this.refuseUnavailable('the configuration is not confirmed');
      }
      grant =
        request.accessKey === undefined ? undefined : configuration.findGrant(request.accessKey);
      if (grant === undefined) {
        return this.deny(viewAge, UNAUTHORIZED, 'the access key is not known');
      }
      Object.assign(trace, { account: grant.account });
    }
    const service = this.chooseService(route);
    Object.assign(trace, { service });
    const decision = grant === undefined ? undefined : this.quotas?.tryTake(grant, request);
    if (decision?.kind === 'refused') {
      return this.refuseOverQuota(decision.retryAfterMilliseconds);
    }
    const quotaTake = decision?.take;
    return {
      kind: 'admitted',
      route,
      service,
      grant,
      ...(quotaTake === undefined ? {} : { quotaTake }),
    };
  }

  /** Denies only if the view is recent, since an older one may lack a new route or key. */
  private deny(viewAge: number, status: number, reason: string): AdmissionResult {
    if (viewAge > this.limits.denialViewAgeMilliseconds) {
      return this.refuseUnavailable(`${reason}, but the configuration is not confirmed`);
    }
    return { kind: 'answered', own: { status, reason } };
  }

  private refuseOverQuota(retryAfterMilliseconds: number): AdmissionResult {
    return {
      kind: 'answered',
      own: {
        status: TOO_MANY_REQUESTS,
        reason: 'the account is over its quota',
        retryAfterMilliseconds: addRetryAfterJitter(retryAfterMilliseconds, this.random),
      },
    };
  }

  private refuseUnavailable(reason: string): AdmissionResult {
    return {
      kind: 'answered',
      own: {
        status: SERVICE_UNAVAILABLE,
        reason,
        retryAfterMilliseconds: addRetryAfterJitter(RETRY_AFTER_MILLISECONDS.NoView, this.random),
      },
    };
  }

  private chooseService(route: ForwardingRoute): string {
    const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
    let point = this.random.fraction() * total;
    for (const { service, weight } of route.services) {
      point -= weight;
      if (point < 0) {
        return service;
      }
    }
    return route.services.at(-1)?.service ?? '';
  }
}
