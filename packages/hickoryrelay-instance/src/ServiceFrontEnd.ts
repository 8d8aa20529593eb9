import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';

import { assertMayUse, identifyCaller } from './CallerIdentity.js';
import { HttpFrontEnd } from './HttpFrontEnd.js';
import { assertNoKey, readContentType, readKeyText, readTarget } from './RequestReader.js';
import type { ArrivedRequest } from './FrontEnd.js';
import type { ClassOfWork } from 'hickoryrelay-contract/ClassOfWork';
import type { Identity } from 'hickoryrelay-contract/Declarations';
import type { ServiceCall } from 'hickoryrelay-link/Call';
import type { IncomingMessage } from 'node:http';

const LONGEST_IDEMPOTENCY_KEY = 255;
const PATH_PATTERN = /^\/services\/([a-z0-9][a-z0-9-]{0,62})((?:\/[^?#]*)?)$/u;

/** Decodes plain HTTP requests for services: `/services/<route>/<path>`. */
export class ServiceFrontEnd extends HttpFrontEnd {
  override async decode(arrived: ArrivedRequest<IncomingMessage>): Promise<ServiceCall> {
    const { request, requestIdentifier, arrivalMilliseconds } = arrived;
    const target = readTarget(request);
    const match = PATH_PATTERN.exec(target.path);
    const route = match?.[1] ?? '';
    const work = this.view.declarations.classOfRoute(route);
    if (work === undefined) {
      throw new RelayError({ kind: FailureKind.NotFound, subject: 'route', name: route });
    }
    const identity = this.identityFor(work, request);
    const idempotencyKey = ServiceFrontEnd.readIdempotencyKey(request);
    const body = await this.readBody(request);
    assertNoKey('body', body.toString('latin1'));
    return {
      kind: WorkKind.Service,
      requestIdentifier,
      accountName: identity?.account.name,
      keyIdentifier: identity?.key.identifier,
      className: work.name,
      arrivalMilliseconds,
      deadlineMilliseconds: this.deadlineOf(arrivalMilliseconds),
      isIdempotent: work.isIdempotent,
      idempotencyKey,
      route,
      method: request.method ?? 'GET',
      path: `${match?.[2] ?? ''}${target.query}`,
      contentType: readContentType(request),
      body: body.length === 0 ? undefined : body,
    };
  }

  /** On an open route a key is not needed, but one that is sent must be valid. */
  private identityFor(work: ClassOfWork, request: IncomingMessage): Identity | undefined {
    const keyText = readKeyText(request);
    if (work.isOpen && keyText === undefined) {
      return undefined;
    }
    const identity = identifyCaller(this.view, keyText);
    if (!work.isOpen) {
      assertMayUse(identity.account, work);
    }
    return identity;
  }

  private static readIdempotencyKey(request: IncomingMessage): string | undefined {
    const value = request.headers['idempotency-key'];
    if (value === undefined) {
      return undefined;
    }
    if (typeof value !== 'string' || value === '' || value.length > LONGEST_IDEMPOTENCY_KEY) {
      throw new RelayError({
        kind: FailureKind.InvalidRequest,
        field: 'idempotency-key',
        reason: `expected 1 to ${LONGEST_IDEMPOTENCY_KEY} characters`,
      });
    }
    return value;
  }
}
