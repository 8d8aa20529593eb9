import { ReachState } from 'hickoryrelay-relay/EndpointReach';
import { RelayedCall } from 'hickoryrelay-relay/RelayedCall';

import type { CallContext } from './CallContext.js';
import type { ConfigurationFloor } from 'hickoryrelay-relay/ConfigurationFloor';
import type { EndpointReach } from 'hickoryrelay-relay/EndpointReach';
import type { RelayLink } from 'hickoryrelay-relay/RelayLink';
import type { RelayTargets } from 'hickoryrelay-relay/RelayTargets';

/** What an instance needs to pass requests on to others. */
export interface CallRelayParts {
  readonly reach: EndpointReach;
  readonly targets: RelayTargets;
  readonly link: RelayLink;
  readonly floor: ConfigurationFloor;
}

/** Passes the request of one call on to another instance when this one cannot reach its endpoints. */
export class CallRelay {
  private readonly call: CallContext;

  private hasUnknownResult = false;

  constructor(call: CallContext) {
    this.call = call;
  }

  /** True if another instance has passed the request on, which is not repeated. */
  get isReceiver(): boolean {
    return this.call.request.relayed !== undefined;
  }

  /** True once an instance has failed that may have run the request. */
  get mayHaveRun(): boolean {
    return this.hasUnknownResult;
  }

  /**
   * Decides whether no attempt is made here, as the endpoints cannot be reached. While connections open again, a receiver
   * makes one, and so does a sender that no other instance can help: after a failure that all instances had in common,
   * they would otherwise refuse what could be served.
   */
  shouldReplaceAttempts(): boolean {
    const { relay } = this.call.parts;
    const { service } = this.call.admitted;
    if (relay?.reach.stateOf(service) === ReachState.Unreachable) {
      return true;
    }
    return (
      !this.isReceiver &&
      relay?.reach.shouldRelay(service) === true &&
      relay.targets.hasCandidate(service)
    );
  }

  /**
   * Lets another instance answer a request that has not run, which takes the quota itself. Returns the reason if
   * the caller has no complete response.
   */
  async run(): Promise<string | undefined> {
    const { parts, request, admitted, sink, trace, deadline } = this.call;
    const { isRetryable, isResumable } = this.call;
    if (parts.relay === undefined) {
      return 'requests are not passed on';
    }
    if (trace.attempts > 0 && !parts.budgets.tryTake(admitted.service)) {
      return 'the retry budget is used up';
    }
    admitted.quotaTake?.giveBack();
    const { targets, link, floor } = parts.relay;
    const { identifier, method, target, headers, body, accessKey, lastEvent } = request;
    const relayed = new RelayedCall({
      targets,
      link,
      sink,
      deadline,
      service: admitted.service,
      request: {
        identifier,
        method,
        target,
        headers,
        body,
        accessKey,
        lastEvent,
        attemptsMade: trace.attempts,
      },
      floor,
      configurationVersion: trace.configurationVersion,
      // Two receivers that have begun a stream would both have recorded its origin.
      isRepeatable: isRetryable && !isResumable,
      maximumAttempts: admitted.route.maximumAttempts,
      addStep: (step) => trace.addStep(step),
      recordFirstByte: () => {
        trace.firstByteMilliseconds =
          parts.clock.monotonicMilliseconds() - request.arrivedMilliseconds;
      },
    });
    const failure = await relayed.run();
    this.hasUnknownResult = relayed.mayHaveRun;
    trace.relayedTo = relayed.receiver?.instance;
    return failure;
  }
}
