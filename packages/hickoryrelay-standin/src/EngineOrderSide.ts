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

/** What an engine checks before it takes an order. */
export interface OrderChecks {
  readonly fencing: boolean;
  readonly deadline: boolean;
}

/** An order that took effect, and when. */
export interface TakenOrder {
  readonly issued: IssuedOrder;
  readonly atMilliseconds: number;
  /** What `holderNumber` of the side returned at that time. */
  readonly holderNumber: number;
  /** Order that was still running, if the engine took this one on top of it. */
  readonly over?: string;
}

/** The order side of an engine stand-in: what it checks, takes and tells of it. */
export class EngineOrderSide {
  readonly taken: TakenOrder[] = [];

  /** Fencing number of the true holder, for the oracle of a model. */
  holderNumber: () => number = () => 0;

  /** Time that an order takes to carry out, in milliseconds. */
  orderMilliseconds = 2000;

  private readonly clock: Clock;

  private readonly checks: OrderChecks;

  private highestFencing = 0;

  constructor(clock: Clock, checks: OrderChecks) {
    this.clock = clock;
    this.checks = checks;
  }

  /** Takes or refuses an order. An engine that checks nothing takes orders on top of others. */
  take(issued: IssuedOrder): OrderResponse {
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
      holderNumber: this.holderNumber(),
      ...(isBusy && lastOrder !== undefined ? { over: lastOrder } : {}),
    });
    return OrderResponse.Taken;
  }

  state(): EndpointOrderState {
    const last = this.taken.at(-1);
    const now = this.clock.monotonicMilliseconds();
    const isRunning = last !== undefined && now < last.atMilliseconds + this.orderMilliseconds;
    return {
      ...(last === undefined ? {} : { lastOrder: last.issued.identifier }),
      progress: isRunning ? OrderProgress.Running : OrderProgress.Done,
      fencingNumber: this.checks.fencing ? this.highestFencing : 0,
    };
  }

  /** Answers `POST /orders` and `GET /orders/state`. */
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
    const answer = this.take({
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

/** The way of one simulated process to the order side of an engine, without sockets. */
export class InProcessOrderLink extends OrderLink {
  private readonly endpoint: string;

  private readonly side: EngineOrderSide;

  private readonly exchanges: OrderExchanges;

  private readonly check: () => void;

  /** Told of each order in the tick in which it is written. */
  private readonly observeSend: (issued: IssuedOrder) => void;

  private isClosed = false;

  constructor(
    endpoint: string,
    side: EngineOrderSide,
    exchanges: OrderExchanges,
    check: () => void,
    observeSend: (issued: IssuedOrder) => void = () => {},
  ) {
    super();
    this.endpoint = endpoint;
    this.side = side;
    this.exchanges = exchanges;
    this.check = check;
    this.observeSend = observeSend;
  }

  override async send(issued: IssuedOrder): Promise<OrderResponse> {
    this.assertOpen();
    this.check();
    this.observeSend(issued);
    return this.exchanges.orders.send(
      () => this.side.take(issued),
      ({ reason, mayHaveTakenEffect }) => this.failure(reason, mayHaveTakenEffect),
    );
  }

  override async readState(): Promise<EndpointOrderState> {
    this.assertOpen();
    return this.exchanges.reads.send(
      () => this.side.state(),
      ({ reason }) => this.failure(reason, false),
    );
  }

  override async close(): Promise<void> {
    this.isClosed = true;
  }

  private assertOpen(): void {
    if (this.isClosed) {
      throw this.failure('the ordering connection is closed', false);
    }
  }

  private failure(reason: string, mayHaveRun: boolean): RelayError {
    const { endpoint } = this;
    return new RelayError({ kind: FailureKind.EndpointFailed, endpoint, reason, mayHaveRun });
  }
}
