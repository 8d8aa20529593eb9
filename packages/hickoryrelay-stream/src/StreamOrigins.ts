import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { HISTORY_MILLISECONDS } from './ObservationPeriod.js';
import { OriginAnswerKind, unsettled } from './OriginAnswer.js';
import { OriginLedger, RECORD_LIFETIME_MILLISECONDS } from './OriginLedger.js';
import { OriginQuestion, OriginSource } from './OriginQuestion.js';
import { RouteHistory } from './RouteHistory.js';
import { streamKey } from './StreamKey.js';

import type { OriginAnswer } from './OriginAnswer.js';
import type { OriginRecord } from './OriginLedger.js';
import type { StreamOrigin } from './OriginQuestion.js';
import type { RouteTable } from './RouteHistory.js';
import type { SoftwareVersion } from './SoftwareVersion.js';
import type { StreamTarget } from './StreamTarget.js';
import type { VersionHistory } from './VersionHistory.js';
import type { Clock } from 'hickoryrelay/Clock';

export type { StreamOrigin } from './OriginQuestion.js';

/** Time after which a question is decided with the answers there are. */
export const ASK_TIMEOUT_MILLISECONDS = 100;

/** Time after which instances that have not answered are asked again, since datagrams get lost. */
const ASK_AGAIN_MILLISECONDS = 40;

/** Stands for the identifier of a caller that names no attempt. */
const NO_IDENTIFIER = '';

/** Asks for the versions of a service rather than for a stream. No header has such a value. */
const VERSIONS_IDENTIFIER = '\n';

/** Records of open streams are sent again before other instances drop them. */
const RENEWAL_MILLISECONDS = RECORD_LIFETIME_MILLISECONDS / 2;

/**
 * The versions that began the streams of this instance and, as far as this instance has been told, of
 * the others. Answers which service and which version began the stream of an attempt.
 */
export class StreamOrigins {
  private readonly history: VersionHistory;

  private readonly routes: RouteHistory;

  private readonly clock: Clock;

  private readonly ledger = new OriginLedger();

  /** Records to send to other instances, by key. */
  private readonly unsentRecords = new Map<number, OriginRecord>();

  /** Services that were settled at the last observation. */
  private readonly settledServices = new Set<string>();

  private renewedMilliseconds = Number.NEGATIVE_INFINITY;

  private readonly questions = new Map<number, OriginQuestion>();

  private readonly unsentQuestions = new Set<OriginQuestion>();

  private readonly listeners = new Set<() => void>();

  /** Answers to resumptions by what has named the version; undefined if it was not known. */
  private readonly answerCounts = new Map<OriginSource | undefined, number>();

  /** @param clock The clock of the history, which keeps running while the process is suspended. */
  constructor(history: VersionHistory, clock: Clock) {
    this.history = history;
    this.routes = new RouteHistory(history.boundMilliseconds);
    this.clock = clock;
  }

  /** Calls the listener when there is something to send. Returns the function that unsubscribes it. */
  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /**
   * Records the versions of the engines in the view, by service, as `VersionHistory.observe` does.
   * Queues the records of streams whose service is no longer settled. Asks other instances whether the
   * only version of a service that this instance has just begun to see is established.
   */
  observe(
    versions: ReadonlyMap<string, ReadonlySet<SoftwareVersion>>,
    ageMilliseconds: number,
  ): void {
    const now = this.now();
    this.history.observe(versions, now, ageMilliseconds);
    this.queueOwnRecords(now);
    for (const service of versions.keys()) {
      const sole = this.history.soleVersion(service, now);
      if (sole !== undefined && !this.history.isEstablished(service, sole.version)) {
        void this.confirmSoleVersion(service, sole.version);
      }
    }
  }

  /**
   * Records where the configuration in force sends requests. If that has changed for some path, queues the records of
   * all streams, since their services no longer follow from the path.
   */
  observeRoutes(table: RouteTable, ageMilliseconds: number): void {
    const now = this.now();
    if (this.routes.observe(table, now, ageMilliseconds)) {
      this.ledger.recordRouteChange();
      for (const record of this.ledger.ownRecordsSince(now - HISTORY_MILLISECONDS)) {
        this.queueRecord(record);
      }
    }
  }

  /**
   * Records that the first event of an attempt is about to be passed on. Returns the function that
   * marks the stream as ended; further calls have no effect.
   */
  begin(
    target: StreamTarget,
    service: string,
    identifier: string,
    version: SoftwareVersion,
  ): () => void {
    const key = streamKey(service, identifier);
    const hasSoleService = this.routes.hasSoleService(target, this.now());
    const record = this.ledger.begin(key, service, version, hasSoleService);
    // The service may have ceased to be settled without an observation, in an outage of the store.
    this.queueOwnRecords(this.now());
    if (!hasSoleService || !this.followsFromHistory(service, version)) {
      this.queueRecord(record);
    }
    let isOpen = true;
    return () => {
      if (isOpen) {
        isOpen = false;
        this.ledger.end(key, this.now());
      }
    };
  }

  /**
   * The versions at which streams may begin, since all instances with a current view have seen them. Undefined if no
   * version of the service has been observed here.
   */
  establishedVersions(service: string): ReadonlySet<SoftwareVersion> | undefined {
    const versions = this.history.versionsOf(service);
    return versions.length === 0
      ? undefined
      : new Set(versions.filter((version) => this.history.isEstablished(service, version)));
  }

  /**
   * Returns the service and the version that began the stream of an attempt, or undefined if they are not known for
   * certain. Unless the target has had one service for long, they are known from a record only. Without an identifier,
   * the only version of a sole service that any instance has seen is taken. Takes at most `ASK_TIMEOUT_MILLISECONDS`. Rejects with
   * `cancelled` if the signal aborts.
   */
  async find(
    target: StreamTarget,
    identifier: string | undefined,
    signal: AbortSignal,
  ): Promise<StreamOrigin | undefined> {
    const origin = await this.findUncounted(target, identifier ?? NO_IDENTIFIER, signal);
    const source = origin?.source;
    this.answerCounts.set(source, (this.answerCounts.get(source) ?? 0) + 1);
    return origin;
  }

  /** The number of answers to resumptions by what has named the version, or `unknown`. */
  *counts(): Generator<{ readonly source: string; readonly answers: number }, void, void> {
    for (const [source = 'unknown', answers] of this.answerCounts) {
      yield { source, answers };
    }
  }

  private async findUncounted(
    target: StreamTarget,
    identifier: string,
    signal: AbortSignal,
  ): Promise<StreamOrigin | undefined> {
    const [recorded, ...others] = this.recordedOrigins(target, identifier);
    if (recorded !== undefined) {
      const isOnRoute = target.services.includes(recorded.service);
      return others.length === 0 && isOnRoute ? recorded.origin : undefined;
    }
    const [service] = target.services;
    if (service === undefined || !this.routes.hasSeenSoleService(target)) {
      return this.waitFor(this.askForRecord(target.services, identifier), signal);
    }
    if (identifier === NO_IDENTIFIER) {
      return this.waitFor(this.findUnnamed(service), signal);
    }
    const key = streamKey(service, identifier);
    const own = this.answer(key, service);
    if (!this.routes.isComplete(this.now())) {
      // Only an instance that has had the same routes for the history knows that there was no other service.
      const { fingerprint } = this.routes;
      return this.waitFor(this.ask(key, service, unsettled(own), fingerprint).outcome, signal);
    }
    return own.kind === OriginAnswerKind.SettledSole
      ? { service, version: own.version, source: OriginSource.OwnHistory }
      : this.waitFor(this.ask(key, service, own).outcome, signal);
  }

  /**
   * The only version of a service that any instance has seen. No record can name it for a caller that names no attempt,
   * so that it would be unknown until a history is settled.
   */
  private async findUnnamed(service: string): Promise<StreamOrigin | undefined> {
    const sole = this.history.soleVersion(service, this.now());
    if (sole === undefined) {
      return undefined;
    }
    const { version, isSettled } = sole;
    if (isSettled) {
      return { service, version, source: OriginSource.OwnHistory };
    }
    const question = this.askForVersions(service, version);
    await question.outcome;
    return question.isUnanimousOn(version)
      ? { service, version, source: OriginSource.Unanimous }
      : undefined;
  }

  /**
   * What the records of this instance name, at most one for each service. The origin is undefined if streams of several
   * versions have begun. Services that the target no longer has are included.
   */
  private *recordedOrigins(
    target: StreamTarget,
    identifier: string,
  ): Generator<{ readonly service: string; readonly origin: StreamOrigin | undefined }, void> {
    const now = this.now();
    for (const service of new Set([...target.services, ...this.history.serviceNames])) {
      const record = this.ledger.find(streamKey(service, identifier), now);
      if (record !== undefined) {
        const { version, isConflicting } = record;
        const origin = { service, version, source: OriginSource.OwnRecord };
        yield { service, origin: isConflicting ? undefined : origin };
      }
    }
  }

  /** Asks other instances at which of the services the stream has begun. The first record decides. */
  private askForRecord(
    services: readonly string[],
    identifier: string,
  ): Promise<StreamOrigin | undefined> {
    // With this answer of its own, a question is decided by a record only.
    const own = { kind: OriginAnswerKind.Mixed };
    const outcomes = services.map(
      (service) => this.ask(streamKey(service, identifier), service, own).outcome,
    );
    return new Promise((resolve) => {
      void Promise.all(
        outcomes.map(async (outcome) => {
          const origin = await outcome;
          if (origin?.source === OriginSource.OtherRecord) {
            resolve(origin);
          }
        }),
      ).then(() => resolve(undefined));
    });
  }

  /**
   * What this instance knows about the stream with the key, without asking others.
   *
   * @param routes Fingerprint of the routes that the history has to be settled on, if any.
   */
  answer(key: number, service: string, routes?: number): OriginAnswer {
    const answer = this.answerForAnyRoutes(key, service);
    const isSettled = routes === undefined || this.routes.isSettledOn(routes, this.now());
    return isSettled ? answer : unsettled(answer);
  }

  private answerForAnyRoutes(key: number, service: string): OriginAnswer {
    const now = this.now();
    const record = this.ledger.find(key, now);
    if (record !== undefined) {
      return record.isConflicting
        ? { kind: OriginAnswerKind.Conflicting }
        : { kind: OriginAnswerKind.Known, version: record.version };
    }
    const sole = this.history.soleVersion(service, now);
    if (sole !== undefined) {
      const kind = sole.isSettled ? OriginAnswerKind.SettledSole : OriginAnswerKind.Sole;
      return { kind, version: sole.version };
    }
    const isUnseen = this.history.versionsOf(service).length === 0;
    return { kind: isUnseen ? OriginAnswerKind.Unseen : OriginAnswerKind.Mixed };
  }

  /** Takes over the record of another instance. */
  receiveRecord(record: OriginRecord): void {
    const now = this.now();
    this.ledger.receive(record, now);
    const question = this.questions.get(record.key);
    if (question !== undefined) {
      question.decideByRecord(this.answer(record.key, question.service));
    }
  }

  /** Takes the answer of another instance. Ignored if the question has been decided. */
  receiveAnswer(instance: string, key: number, answer: OriginAnswer): void {
    this.questions.get(key)?.receive(instance, answer);
  }

  /** Removes and returns the records to send. */
  takeRecords(): readonly OriginRecord[] {
    const records = [...this.unsentRecords.values()];
    this.unsentRecords.clear();
    return records;
  }

  /** Removes and returns the questions to send to the instances that have not answered. */
  takeQuestions(): readonly OriginQuestion[] {
    const questions = [...this.unsentQuestions];
    this.unsentQuestions.clear();
    return questions;
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }

  /** True if other instances name the version without a record. */
  private followsFromHistory(service: string, version: SoftwareVersion): boolean {
    const sole = this.history.soleVersion(service, this.now());
    return sole?.isSettled === true && sole.version === version;
  }

  private isSettled(service: string): boolean {
    return this.history.soleVersion(service, this.now())?.isSettled === true;
  }

  private queueOwnRecords(now: number): void {
    const unsettledServices = this.updateSettledServices();
    const isRenewal = now - this.renewedMilliseconds >= RENEWAL_MILLISECONDS;
    if (isRenewal) {
      this.renewedMilliseconds = now;
    }
    if (!isRenewal && unsettledServices.size === 0) {
      return;
    }
    for (const record of this.ledger.ownRecordsSince(now - HISTORY_MILLISECONDS)) {
      const { service, version, hasSoleService, openStreams } = record;
      const needsRenewal =
        isRenewal &&
        openStreams > 0 &&
        (!hasSoleService || !this.followsFromHistory(service, version));
      if (needsRenewal || unsettledServices.has(service)) {
        this.queueRecord(record);
      }
    }
  }

  /** Returns the services that have been settled until now. */
  private updateSettledServices(): ReadonlySet<string> {
    const unsettledServices = new Set<string>();
    for (const service of this.history.serviceNames) {
      if (this.isSettled(service)) {
        this.settledServices.add(service);
      } else if (this.settledServices.delete(service)) {
        unsettledServices.add(service);
      }
    }
    return unsettledServices;
  }

  private queueRecord({ key, version, isConflicting }: OriginRecord): void {
    this.unsentRecords.set(key, { key, version, isConflicting });
    this.notify();
  }

  private queueQuestion(question: OriginQuestion): void {
    this.unsentQuestions.add(question);
    this.notify();
  }

  private notify(): void {
    this.listeners.forEach((listener) => listener());
  }

  /** Asks other instances. Attempts that name the same stream at the same time share a question. */
  private ask(key: number, service: string, own: OriginAnswer, routes?: number): OriginQuestion {
    const known = this.questions.get(key);
    if (known !== undefined) {
      return known;
    }
    const question = new OriginQuestion(key, service, own, routes);
    this.questions.set(key, question);
    this.queueQuestion(question);
    const cancelAskingAgain = this.clock.schedule(ASK_AGAIN_MILLISECONDS, () =>
      this.queueQuestion(question),
    );
    const cancelTimeout = this.clock.schedule(ASK_TIMEOUT_MILLISECONDS, () => question.conclude());
    void question.outcome.then(() => {
      cancelAskingAgain();
      cancelTimeout();
      this.questions.delete(key);
      this.unsentQuestions.delete(question);
    });
    return question;
  }

  /** Asks other instances whether they have seen another version than the only one that this instance has seen. */
  private askForVersions(service: string, version: SoftwareVersion): OriginQuestion {
    const key = streamKey(service, VERSIONS_IDENTIFIER);
    return this.ask(key, service, { kind: OriginAnswerKind.Sole, version });
  }

  /** Without this, engines would wait for the observation bound after each start of an instance. */
  private async confirmSoleVersion(service: string, version: SoftwareVersion): Promise<void> {
    const question = this.askForVersions(service, version);
    await question.outcome;
    const sole = this.history.soleVersion(service, this.now());
    if (question.isUnanimousOn(version) && sole?.version === version) {
      this.history.establish(service, version);
    }
  }

  private waitFor(
    outcome: Promise<StreamOrigin | undefined>,
    signal: AbortSignal,
  ): Promise<StreamOrigin | undefined> {
    return new Promise((resolve, reject) => {
      const onAbort = () => {
        reject(
          new RelayError({ kind: FailureKind.Cancelled, reason: 'the caller no longer waits' }),
        );
      };
      if (signal.aborted) {
        onAbort();
        return;
      }
      signal.addEventListener('abort', onAbort, { once: true });
      void outcome.then((origin) => {
        signal.removeEventListener('abort', onAbort);
        resolve(origin);
      });
    });
  }
}
