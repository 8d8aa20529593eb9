import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { OrderResponse, OrderProgress } from 'hickoryrelay-endpoint/EndpointOrder';
import { OrderLink } from 'hickoryrelay-link/OrderLink';

import type { OrderExchanges } from './InProcessExchange.js';
import type { JsonResponse, ReceivedRequest } from './JsonServer.js';
import type { Clock } from 'hickoryrelay/Clock';
import type {
  EndpointOrder,
  EndpointOrderState,
  IssuedOrder,
} from 'hickoryrelay-endpoint/EndpointOrder';

/** Which properties of an order an engine checks before it accepts the order. */
export interface OrderChecks {
  readonly fencing: boolean;
  readonly deadline: boolean;
}

/** An order that took effect and the time at which it did. */
export interface AcceptedOrder {
  readonly issued: IssuedOrder;
  readonly atMilliseconds: number;
  /** Fencing number of the current authority holder at that time. */
  readonly holderFencingNumber: number;
  /** Identifier of the order that was still running, if the engine accepted this one meanwhile. */
  readonly overlappedOrder?: string;
}

/** Receives the orders of an engine stand-in, checks them and reports their progress. */
export class EngineOrderReceiver {
  readonly taken: AcceptedOrder[] = [];

  /** Returns the fencing number of the current authority holder. Set by model tests. */
  readHolderFencingNumber: () => number = () => 0;

  orderDurationMilliseconds = 2000;

  private readonly clock: Clock;

  private readonly checks: OrderChecks;

  private highestFencing = 0;

  constructor(clock: Clock, checks: OrderChecks) {
    this.clock = clock;
    this.checks = checks;
  }

  /**
   * Accepts or refuses an order. An order is accepted even while another one is running, which
   * `overlappedOrder` records.
   */
  receive(issued: IssuedOrder): OrderResponse {
    const now = this.clock.monotonicMilliseconds();
    if (this.checks.fencing && issued.fencingNumber < this.highestFencing) {
      return OrderResponse.RefusedAsFenced;
    }
    if (this.checks.deadline && this.clock.wallMilliseconds() >= issued.deadlineMilliseconds) {
      return OrderResponse.Refused;
    }
    const { lastOrder, progress } = this.state();
    const isBusy = progress === OrderProgress.Running;
    this.highestFencing = Math.max(this.highestFencing, issued.fencingNumber);
    this.taken.push({
      issued,
      atMilliseconds: now,
      holderFencingNumber: this.readHolderFencingNumber(),
      ...(isBusy && lastOrder !== undefined ? { overlappedOrder: lastOrder } : {}),
    });
    return OrderResponse.Taken;
  }

  state(): EndpointOrderState {
    const last = this.taken.at(-1);
    const now = this.clock.monotonicMilliseconds();
    const isRunning =
      last !== undefined && now < last.atMilliseconds + this.orderDurationMilliseconds;
    return {
      ...(last === undefined ? {} : { lastOrder: last.issued.identifier }),
      progress: isRunning ? OrderProgress.Running : OrderProgress.Done,
      fencingNumber: this.checks.fencing ? this.highestFencing : 0,
    };
  }

  /** Handles `POST /orders` and `GET /orders/state`. */
  answer(request: ReceivedRequest): JsonResponse {
    if (request.path === '/orders/state') {
      const { lastOrder, progress, fencingNumber } = this.state();
      return {
        status: 200,
        body: { last_order: lastOrder, progress, fencing_number: fencingNumber },
      };
    }
    const body = JSON.parse(request.text) as {
      identifier: string;
      fencing_number: number;
      deadline_milliseconds: number;
      order: EndpointOrder;
    };
    const answer = this.receive({
      identifier: body.identifier,
      endpoint: '',
      order: body.order,
      fencingNumber: body.fencing_number,
      deadlineMilliseconds: body.deadline_milliseconds,
    });
    const reason = answer === OrderResponse.RefusedAsFenced ? 'fenced' : 'refused';
    return answer === OrderResponse.Taken
      ? { status: 200, body: { taken: true } }
      : { status: 409, body: { error: reason } };
  }
}

/** In-process order link from one simulated process to an engine. */
export class InProcessOrderLink extends OrderLink {
  private readonly endpoint: string;

  private readonly receiver: EngineOrderReceiver;

  private readonly exchanges: OrderExchanges;

  private readonly check: () => void;

  /** Called synchronously with each order that is sent. */
  private readonly observeSend: (issued: IssuedOrder) => void;

  private isClosed = false;

  constructor(
    endpoint: string,
    receiver: EngineOrderReceiver,
    exchanges: OrderExchanges,
    check: () => void,
    observeSend: (issued: IssuedOrder) => void = () => {},
  ) {
    super();
    this.endpoint = endpoint;
    this.receiver = receiver;
    this.exchanges = exchanges;
    this.check = check;
    this.observeSend = observeSend;
  }

  override async send(issued: IssuedOrder): Promise<OrderResponse> {
    this.assertOpen();
    this.check();
    this.observeSend(issued);
    return this.exchanges.orders.send(
      () => this.receiver.receive(issued),
      ({ reason, mayHaveTakenEffect }) => this.failure(reason, mayHaveTakenEffect),
    );
  }

  override async readState(): Promise<EndpointOrderState> {
    this.assertOpen();
    return this.exchanges.reads.send(
      () => this.receiver.state(),
      ({ reason }) => this.failure(reason, false),
    );
  }

  override async close(): Promise<void> {
    this.isClosed = true;
  }

  private assertOpen(): void {
    if (this.isClosed) {
      throw this.failure('the order connection is closed', false);
    }
  }

  private failure(reason: string, mayHaveRun: boolean): RelayError {
    const { endpoint } = this;
    return new RelayError({ kind: FailureKind.EndpointFailed, endpoint, reason, mayHaveRun });
  }
}
