import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';

import { assertAuthorized, authenticateCaller } from './CallerAuthentication.js';
import { HttpFrontEnd } from './HttpFrontEnd.js';
import { assertNoAccessKey, readContentType, readKeyText, readTarget } from './RequestReader.js';
import type { ReceivedRequest } from './FrontEnd.js';
import type { ClassOfWork } from 'hickoryrelay-contract/ClassOfWork';
import type { Identity } from 'hickoryrelay-contract/Declarations';
import type { ServiceCall } from 'hickoryrelay-link/Call';
import type { IncomingMessage } from 'node:http';

const MAXIMUM_IDEMPOTENCY_KEY_LENGTH = 255;
const PATH_PATTERN = /^\/services\/([a-z0-9][a-z0-9-]{0,62})((?:\/[^?#]*)?)$/u;

/** Decodes HTTP requests for services: `/services/<route>/<path>`. */
export class ServiceFrontEnd extends HttpFrontEnd {
  override async decode(received: ReceivedRequest<IncomingMessage>): Promise<ServiceCall> {
    const { request, requestIdentifier, arrivalMilliseconds } = received;
    const target = readTarget(request);
    const match = PATH_PATTERN.exec(target.path);
    const route = match?.[1] ?? '';
    const classOfWork = this.view.declarations.findClassByRoute(route);
    if (classOfWork === undefined) {
      throw new RelayError({ kind: FailureKind.NotFound, subject: 'route', name: route });
    }
    const identity = this.authenticate(classOfWork, request);
    const idempotencyKey = ServiceFrontEnd.readIdempotencyKey(request);
    const body = await this.readBody(request);
    assertNoAccessKey('body', body.toString('latin1'));
    return {
      kind: WorkKind.Service,
      requestIdentifier,
      accountName: identity?.account.name,
      keyIdentifier: identity?.key.identifier,
      className: classOfWork.name,
      arrivalMilliseconds,
      deadlineMilliseconds: this.deadlineOf(arrivalMilliseconds),
      isIdempotent: classOfWork.isIdempotent,
      idempotencyKey,
      route,
      method: request.method ?? 'GET',
      path: `${match?.[2] ?? ''}${target.query}`,
      contentType: readContentType(request),
      body: body.length === 0 ? undefined : body,
    };
  }

  /** Open routes need no access key, but a key that is sent must be valid. */
  private authenticate(classOfWork: ClassOfWork, request: IncomingMessage): Identity | undefined {
    const keyText = readKeyText(request);
    if (classOfWork.allowsAnonymous && keyText === undefined) {
      return undefined;
    }
    const identity = authenticateCaller(this.view, keyText);
    if (!classOfWork.allowsAnonymous) {
      assertAuthorized(identity.account, classOfWork);
    }
    return identity;
  }

  private static readIdempotencyKey(request: IncomingMessage): string | undefined {
    const value = request.headers['idempotency-key'];
    if (value === undefined) {
      return undefined;
    }
    if (
      typeof value !== 'string' ||
      value === '' ||
      value.length > MAXIMUM_IDEMPOTENCY_KEY_LENGTH
    ) {
      throw new RelayError({
        kind: FailureKind.InvalidRequest,
        field: 'idempotency-key',
        reason: `expected 1 to ${MAXIMUM_IDEMPOTENCY_KEY_LENGTH} characters`,
      });
    }
    return value;
  }
}
