import { invariant } from 'hickoryrelay/Invariant';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';

import { HttpEndpointLink } from './HttpEndpointLink.js';

import type { Call } from './Call.js';
import type { EncodedCall } from './HttpEndpointLink.js';

/** Link to a plain service. The client account is sent in a header. */
export class ServiceLink extends HttpEndpointLink {
  protected override readonly isBodyIdentified = false;

  protected override encode(call: Call): EncodedCall {
    invariant(
      call.kind === WorkKind.Service,
      `expected a service call, received a ${call.kind} call`,
    );
    return {
      method: call.method,
      path: `/${call.route}${call.path}`,
      headers: {
        ...(call.contentType === undefined ? {} : { 'content-type': call.contentType }),
        ...(call.accountName === undefined ? {} : { 'x-client-account': call.accountName }),
      },
      body: call.body ?? null,
    };
  }
}
