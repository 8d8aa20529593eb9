import { createServer } from 'node:http';
import { getHeapStatistics } from 'node:v8';

import ApiGateway from 'moleculer-web';
import { CallerConnections } from 'hickoryrelay/CallerConnections';
import { closeConnectionOf, ConnectionCloseReason } from 'hickoryrelay/ConnectionClosing';
import { FailureKind } from 'hickoryrelay/Failure';
import { ALL_HEADER_LINES } from 'hickoryrelay/HeaderLimits';
import { failureOf, RelayError } from 'hickoryrelay/RelayError';
import { sendWhole } from 'hickoryrelay/ResponseFraming';
import { CallerGuard } from 'hickoryrelay-caller/CallerGuard';
import { callerLimitsOf } from 'hickoryrelay-caller/CallerLimits';

import { authenticateCaller } from './CallerAuthentication.js';
import { CallTimer } from './CallTimer.js';
import { errorResponse } from './ErrorResponse.js';
import { handleParserErrors, rejection } from './HttpParserErrors.js';
import { HttpResponseWriter } from './HttpResponseWriter.js';
import { OpenAiFrontEnd } from './OpenAiFrontEnd.js';
import { readKeyText } from './RequestReader.js';
import { ServiceFrontEnd } from './ServiceFrontEnd.js';

import type { FrontEnd } from './FrontEnd.js';
import type { Instance } from './Instance.js';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { CallerLimits } from 'hickoryrelay-caller/CallerLimits';
import type { Settings } from 'hickoryrelay-contract/Settings';
import type { Call } from 'hickoryrelay-link/Call';
import type { ServiceSchema } from 'moleculer';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

const MILLISECONDS_PER_SECOND = 1000;

/** Receives the server of the API and its connections before it listens. */
export type ServerObserver = (
  server: Server,
  connections: CallerConnections,
  guard: CallerGuard,
) => void;

type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Limits on what is held for callers, derived from the settings. */
function callerLimitsFor(limits: Settings['limits']): CallerLimits {
  const { memoryMegabytes, fileDescriptors, connections, requestSeconds } = limits;
  const heapBytes = getHeapStatistics().heap_size_limit;
  const bodyTimeoutMilliseconds = requestSeconds * MILLISECONDS_PER_SECOND;
  return callerLimitsOf(
    { memoryMegabytes, fileDescriptors, heapBytes },
    { connections, bodyTimeoutMilliseconds },
  );
}

function sendJson(response: ServerResponse, status: number, body: object): void {
  sendWhole(response, status, { 'content-type': 'application/json' }, JSON.stringify(body));
}

/** The HTTP API that an instance offers to callers. */
export class CallerApi {
  private readonly instance: Instance;

  private readonly log: ComponentLogger;

  /** Defined once the server has been created. */
  private connections: CallerConnections | undefined;

  private guard: CallerGuard | undefined;

  constructor(instance: Instance, log: ComponentLogger) {
    this.instance = instance;
    this.log = log;
  }

  /** Returns the schema of the Moleculer service that serves the API. */
  serviceSchema(onServer: ServerObserver): ServiceSchema {
    const { settings } = this.instance;
    return {
      name: 'callers',
      mixins: [ApiGateway],
      settings: {
        ip: settings.callers.address,
        port: settings.callers.port,
        logRequest: null,
        logResponse: null,
        log4XXResponses: false,
        onError: (request: IncomingMessage, response: ServerResponse) => {
          const error = new RelayError({
            kind: FailureKind.NotFound,
            subject: 'path',
            name: request.url ?? '',
          });
          this.refuseRequest(request, response, this.instance.nextRequestIdentifier(), error);
        },
        routes: [
          {
            path: '/',
            bodyParsers: false,
            mappingPolicy: 'restrict',
            aliases: this.aliases(),
          },
        ],
      },
      methods: {
        createServer: this.serverFactory((server, connections, guard) => {
          this.connections = connections;
          this.guard = guard;
          onServer(server, connections, guard);
        }),
      },
    };
  }

  private aliases(): Record<string, RequestHandler> {
    const { view, settings } = this.instance;
    const guard = () => this.guard;
    const openAi = this.relayHandler(new OpenAiFrontEnd(view, settings.limits, guard));
    const services = this.relayHandler(new ServiceFrontEnd(view, settings.limits, guard));
    return {
      'POST /v1/chat/completions': openAi,
      'POST /v1/completions': openAi,
      'GET /v1/models': this.modelsHandler(),
      'GET /health/live': (request, response) => sendJson(response, 200, { live: true }),
      'GET /health/ready': this.readyHandler(),
      'GET /metrics': this.metricsHandler(),
      'GET /admin/status': (request, response) => sendJson(response, 200, this.instance.status()),
      '/services/(.*)': services,
    };
  }

  /** Replaces the gateway's server factory, which supports neither header limits nor parser errors. */
  private serverFactory(onServer: ServerObserver) {
    const { instance, log } = this;
    const { limits } = instance.settings;
    const refuseWithoutHost = (request: IncomingMessage, response: ServerResponse) => {
      const reason = 'the header is missing';
      const failure = { kind: FailureKind.InvalidRequest, field: 'host', reason };
      const identifier = instance.nextRequestIdentifier();
      this.refuseRequest(request, response, identifier, new RelayError(failure));
    };
    return function createLimitedServer(this: {
      server?: Server;
      httpHandler: RequestHandler;
    }): void {
      const server = createServer(
        {
          maxHeaderSize: limits.headerBytes,
          requestTimeout: limits.requestSeconds * MILLISECONDS_PER_SECOND,
          headersTimeout: limits.requestSeconds * MILLISECONDS_PER_SECOND,
          connectionsCheckingInterval: MILLISECONDS_PER_SECOND,
          noDelay: true,
          // The server's own response would close the connection without regard to calls behind it.
          requireHostHeader: false,
        },
        (request, response) => {
          const lacksHost = request.headers.host === undefined && request.httpVersion === '1.1';
          (lacksHost ? refuseWithoutHost : this.httpHandler)(request, response);
        },
      );
      server.maxHeadersCount = ALL_HEADER_LINES;
      const connections = new CallerConnections(server);
      const guard = new CallerGuard(server, connections, {
        limits: callerLimitsFor(limits),
        clock: instance.clock,
        log,
        encodeRejection: (failure) => rejection(failure, instance.nextRequestIdentifier()),
      });
      server.prependListener('request', (request, response) => {
        connections.beginRequest(request.socket, response);
        guard.begin(request, response);
      });
      handleParserErrors(server, connections, limits, () => instance.nextRequestIdentifier());
      this.server = server;
      onServer(server, connections, guard);
    };
  }

  private relayHandler(frontEnd: FrontEnd<IncomingMessage>): RequestHandler {
    return (request, response) => {
      void this.relay(frontEnd, request, response);
    };
  }

  private async relay(
    frontEnd: FrontEnd<IncomingMessage>,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.connections?.find(request.socket)?.closesBefore(response) === true) {
      request.resume();
      return;
    }
    const requestIdentifier = this.instance.nextRequestIdentifier();
    try {
      this.instance.assertAcceptsCalls();
      const arrivalMilliseconds = this.instance.clock.monotonicMilliseconds();
      const call = await frontEnd.decode({ request, requestIdentifier, arrivalMilliseconds });
      this.instance.assertAcceptsCalls();
      await this.runExchange(call, response);
    } catch (error) {
      this.refuseRequest(request, response, requestIdentifier, error);
    }
  }

  private async runExchange(call: Call, response: ServerResponse): Promise<void> {
    const { clock, metrics, settings } = this.instance;
    const { requestIdentifier } = call;
    const exchange = this.instance.open(call);
    response.once('close', () => {
      exchange.cancel(
        new RelayError({ kind: FailureKind.Cancelled, reason: 'the caller disconnected' }),
      );
    });
    const timer = new CallTimer(call, metrics.seriesFor(call), clock);
    await exchange.run(
      new HttpResponseWriter({
        response,
        requestIdentifier,
        timer,
        clock,
        onBacklog: () => this.guard?.recordBacklog(response.req.socket),
        stallTimeoutMilliseconds: settings.limits.callerStallSeconds * MILLISECONDS_PER_SECOND,
        onPassedOn: () => this.connections?.recordPassedOn(response, requestIdentifier),
        onCut: () => this.connections?.cut(response, ConnectionCloseReason.IncompleteResponse),
        onHead: () => {
          if (!this.instance.isReady) {
            this.connections?.closeAfter(response);
          }
        },
      }),
    );
    this.log.info('Call ended.', {
      requestIdentifier,
      account: call.accountName,
      class: call.className,
      outcome: timer.outcome,
      milliseconds: Math.round(clock.monotonicMilliseconds() - call.arrivalMilliseconds),
    });
  }

  /** Responds to a request that failed before it became a call, and discards the rest of its body. */
  private refuseRequest(
    request: IncomingMessage,
    response: ServerResponse,
    requestIdentifier: string,
    error: unknown,
  ): void {
    const failure = failureOf(error);
    this.log.info('Request refused.', { requestIdentifier, code: failure.kind });
    if (response.headersSent || response.destroyed) {
      closeConnectionOf(response, ConnectionCloseReason.UnreadRequest);
      return;
    }
    const { status, headers, body } = errorResponse({ failure, requestIdentifier, notRun: true });
    response.shouldKeepAlive &&= request.complete;
    sendWhole(response, status, headers, JSON.stringify(body));
    request.resume();
  }

  private modelsHandler(): RequestHandler {
    return (request, response) => {
      try {
        const { view } = this.instance;
        const identity = authenticateCaller(view, readKeyText(request));
        const data = view.declarations
          .listModels(identity.account)
          .map((id) => ({ id, object: 'model', created: 0, owned_by: 'hickoryrelay' }));
        sendJson(response, 200, { object: 'list', data });
      } catch (error) {
        this.refuseRequest(request, response, this.instance.nextRequestIdentifier(), error);
      }
    };
  }

  private readyHandler(): RequestHandler {
    return (request, response) => {
      const { isReady } = this.instance;
      sendJson(response, isReady ? 200 : 503, { ready: isReady });
    };
  }

  private metricsHandler(): RequestHandler {
    return (request, response) => {
      const headers = { 'content-type': 'text/plain; version=0.0.4' };
      sendWhole(response, 200, headers, this.instance.metrics.render());
    };
  }
}
