import { buildConnector, Client } from 'undici';
import { ConnectionBreak } from 'hickoryrelay/ConnectionBreak';
import { FailureKind } from 'hickoryrelay/Failure';
import { paceReads } from 'hickoryrelay/PacedReads';
import { RelayError, hasFailureKind } from 'hickoryrelay/RelayError';
import { readBodyText } from 'hickoryrelay/ResponseBodyUtils';
import { guardWrites } from 'hickoryrelay/SocketGuardUtils';
import { OrderResponse, OrderProgress } from 'hickoryrelay-endpoint/EndpointOrder';

import type { EndpointLocation } from 'hickoryrelay-endpoint/Endpoint';
import type {
  EndpointOrder,
  EndpointOrderState,
  IssuedOrder,
} from 'hickoryrelay-endpoint/EndpointOrder';

const CONNECT_TIMEOUT_MILLISECONDS = 1000;
const RESPONSE_TIMEOUT_MILLISECONDS = 2000;
const HTTP_CONFLICT = 409;

/** The responses to orders have a few short fields. */
const MAXIMUM_RESPONSE_BYTES = 65_536;

/** Throws `authority-lost` unless this instance holds the authority to send orders. */
export type AuthorityCheck = () => void;

/**
 * The single connection over which the holder of a term of authority sends orders to one endpoint.
 * It is closed when the term ends. Implementations run the check in the same tick in which they
 * write to the socket, and never retry an order. They fail with `authority-lost` (not sent) or
 * `endpoint-failed`, where `mayHaveRun` is false only if the order cannot have reached the
 * endpoint.
 */
export abstract class OrderLink {
  abstract send(order: IssuedOrder): Promise<OrderResponse>;

  abstract readState(): Promise<EndpointOrderState>;

  abstract close(): Promise<void>;
}

interface EncodedState {
  readonly last_order?: string;
  readonly progress?: OrderProgress;
  readonly fencing_number?: number;
}

function encodeOrder(order: EndpointOrder): object {
  switch (order.type) {
    case 'load-model':
      return { type: order.type, model: order.model, version: order.version };
    case 'load-adapter':
      return { type: order.type, model: order.model, adapter: order.adapter };
    case 'change-role':
      return { type: order.type, role: order.role };
    default:
      return { type: order.type };
  }
}

/** Sends orders as JSON over HTTP: `POST /orders` and `GET /orders/state`. */
export class HttpOrderLink extends OrderLink {
  private readonly location: EndpointLocation;

  private readonly client: Client;

  private readonly check: AuthorityCheck;

  /** Of the current connection. */
  private connectionBreak: ConnectionBreak | undefined;

  constructor(location: EndpointLocation, check: AuthorityCheck) {
    super();
    this.location = location;
    this.check = check;
    const connector = buildConnector({ timeout: CONNECT_TIMEOUT_MILLISECONDS });
    this.client = new Client(location.url, {
      pipelining: 1,
      headersTimeout: RESPONSE_TIMEOUT_MILLISECONDS,
      bodyTimeout: RESPONSE_TIMEOUT_MILLISECONDS,
      connect: (options, callback) => {
        connector(options, (...result) => {
          if (result[0] === null) {
            this.connectionBreak = new ConnectionBreak(result[1]);
            guardWrites(result[1], check);
            paceReads(result[1]);
          }
          callback(...result);
        });
      },
    });
  }

  override async send(issued: IssuedOrder): Promise<OrderResponse> {
    this.check();
    const body = JSON.stringify({
      identifier: issued.identifier,
      fencing_number: issued.fencingNumber,
      deadline_milliseconds: issued.deadlineMilliseconds,
      order: encodeOrder(issued.order),
    });
    const { status, text } = await this.exchange('POST', '/orders', body);
    if (status === 200) {
      return OrderResponse.Taken;
    }
    if (status >= 500) {
      throw this.failure(`status ${status}`, true);
    }
    return status === HTTP_CONFLICT && text.includes('"fenced"')
      ? OrderResponse.RefusedAsFenced
      : OrderResponse.Refused;
  }

  override async readState(): Promise<EndpointOrderState> {
    const { status, text } = await this.exchange('GET', '/orders/state', null);
    if (status !== 200) {
      throw this.failure(`status ${status}`, false);
    }
    const state = JSON.parse(text) as EncodedState;
    return {
      ...(state.last_order === undefined ? {} : { lastOrder: state.last_order }),
      progress: state.progress ?? OrderProgress.Done,
      fencingNumber: state.fencing_number ?? 0,
    };
  }

  override async close(): Promise<void> {
    await this.client.destroy();
  }

  private async exchange(
    method: 'GET' | 'POST',
    path: string,
    body: string | null,
  ): Promise<{ status: number; text: string }> {
    try {
      const response = await this.client.request({
        method,
        path,
        headers: { 'content-type': 'application/json' },
        body,
        signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MILLISECONDS),
      });
      const peer = this.location.identifier;
      const text = await readBodyText(response.body, MAXIMUM_RESPONSE_BYTES, peer);
      // The endpoint may have given up a request that it had not read.
      this.connectionBreak?.throwIfDetected();
      return { status: response.statusCode, text };
    } catch (error) {
      if (hasFailureKind(error, FailureKind.AuthorityLost)) {
        throw error;
      }
      const isRefused = error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
      const reason = error instanceof Error ? error.message : String(error);
      throw this.failure(reason, !isRefused, error);
    }
  }

  private failure(reason: string, mayHaveRun: boolean, cause?: unknown): RelayError {
    const endpoint = this.location.identifier;
    return new RelayError(
      { kind: FailureKind.EndpointFailed, endpoint, reason, mayHaveRun },
      cause,
    );
  }
}
