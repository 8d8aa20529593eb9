import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { unconfirmedVersion } from 'hickoryrelay-stream/SoftwareVersion';

import { AttemptKind } from './EndpointLink.js';

import type { AttemptVersion, CallContext, Destination } from './CallContext.js';
import type { Attempt, EndpointResponse } from './EndpointLink.js';
import type { EndpointState } from './EndpointState.js';
import type { SoftwareVersion } from 'hickoryrelay-stream/SoftwareVersion';

/** Why an attempt was given up while its endpoint might still have responded. */
export const AbandonReason = {
  /** Another endpoint has begun to respond, as this one was silent for too long. */
  Superseded: 'another endpoint responded first',
  /** The attempt was a hedge that is no longer needed. */
  Unneeded: 'the hedge is not needed',
} as const;

export type AbandonReason = (typeof AbandonReason)[keyof typeof AbandonReason];

/** One attempt in flight at an endpoint, from its start until it is closed. */
export class OpenAttempt implements AttemptVersion {
  readonly destination: Destination;

  /** Time of the monotonic clock at which the attempt was started. */
  readonly sentMilliseconds: number;

  private readonly call: CallContext;

  private readonly attempt: Attempt;

  private readonly abortController = new AbortController();

  private reason: AbandonReason | undefined;

  private isUsageCounted = false;

  private hasEndpointBegun = false;

  /** Undefined for services without engines. */
  private readonly releaseCache: (() => void) | undefined;

  constructor(call: CallContext, destination: Destination, priority: number | undefined) {
    const { request, admitted, deadline, lastEvent } = call;
    const { state, prefilledPrompt, fetchFrom } = destination;
    this.call = call;
    this.destination = destination;
    this.sentMilliseconds = call.parts.clock.monotonicMilliseconds();
    this.attempt = {
      kind: AttemptKind.Run,
      endpoint: state.record,
      ...call.bindAttempt(state),
      request,
      account: admitted.grant?.account,
      remainingMilliseconds: Math.floor(deadline.remaining()),
      priority,
      ...(prefilledPrompt === undefined ? {} : { prefilledPrompt }),
      ...(fetchFrom === undefined ? {} : { fetchFrom }),
      lastEvent,
    };
    state.beginRequest(this.sentMilliseconds);
    const promptTokens = request.promptSegments.reduce((sum, { tokens }) => sum + tokens, 0);
    state.speed.work.recordRequest(promptTokens, this.sentMilliseconds);
    this.releaseCache = call.isGeneration ? state.reserveCache(promptTokens) : undefined;
    call.recordOpened(state);
  }

  get state(): EndpointState {
    return this.destination.state;
  }

  get softwareVersion(): SoftwareVersion {
    const { endpoint, request, incarnationCheck, prefilledPrompt } = this.attempt;
    const isUnknown =
      incarnationCheck?.isUnknown === true || prefilledPrompt?.isVersionUnknown === true;
    return isUnknown
      ? unconfirmedVersion(`${request.identifier}/${endpoint.identifier}`)
      : endpoint.softwareVersion;
  }

  get registeredVersion(): SoftwareVersion {
    return this.call.parts.registry.registeredRecord(this.attempt.endpoint).softwareVersion;
  }

  /** False if the endpoint takes no requests any more. */
  get isPermitted(): boolean {
    return this.attempt.permit.isValid;
  }

  /** Why the attempt was given up; undefined while it is wanted. */
  get abandonReason(): AbandonReason | undefined {
    return this.reason;
  }

  /** True once the first event or the whole response has arrived. */
  get hasBegun(): boolean {
    return this.hasEndpointBegun;
  }

  /** Sends the request. Resolves when the head of the response has arrived. */
  async send(): Promise<EndpointResponse> {
    const { parts, deadline, sink } = this.call;
    const signal = AbortSignal.any([deadline.signal, this.abortController.signal]);
    sink.recordPassedOn();
    const response = await parts.link.send(this.attempt, signal);
    this.recordActivity();
    return response;
  }

  /** Gives the attempt up, which closes its connection to the endpoint. */
  abandon(reason: AbandonReason): void {
    this.reason ??= reason;
    this.abortController.abort();
  }

  /** Throws `cancelled` if the attempt has been given up. */
  assertWanted(): void {
    if (this.reason !== undefined) {
      throw new RelayError({ kind: FailureKind.Cancelled, reason: this.reason });
    }
  }

  /** Records that data has arrived from the endpoint. */
  recordActivity(): void {
    this.state.recordActivity(this.call.parts.clock.monotonicMilliseconds());
  }

  /** Records that the first event or the whole response has arrived. */
  recordBegin(): void {
    this.hasEndpointBegun = true;
    const { identifier, startedMilliseconds } = this.attempt.endpoint;
    this.call.trace.softwareVersions.push(this.softwareVersion ?? '');
    this.call.trace.begunAt.push(`${identifier}@${startedMilliseconds}`);
    this.call.recordBegin();
  }

  /**
   * Counts the attempt, if its endpoint began to run it at a time of the monotonic clock, towards its
   * client account. An attempt that fails after its first byte has been counted is not counted again.
   */
  recordUsage(beganMilliseconds: number): void {
    if (!this.isUsageCounted) {
      this.isUsageCounted = true;
      this.call.recordUsage(beganMilliseconds);
    }
  }

  /** Ends the attempt. Must be called once. */
  close(): void {
    this.attempt.permit.end();
    this.state.finishRequest();
    this.releaseCache?.();
    if (this.hasEndpointBegun) {
      const now = this.call.parts.clock.monotonicMilliseconds();
      const { relative, work } = this.state.speed;
      work.recordResidence(now - this.sentMilliseconds, relative);
    }
    this.call.recordClosed();
  }
}
