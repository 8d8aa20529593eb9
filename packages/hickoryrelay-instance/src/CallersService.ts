import { createServer } from 'node:http';

import ApiGateway from 'moleculer-web';
import { FailureKind } from 'hickoryrelay/Failure';
import { failureOf, RelayError } from 'hickoryrelay/RelayError';

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { ServiceSchema } from 'moleculer';
import { errorResponse } from './ErrorResponse.js';
import { HttpAnswerWriter } from './HttpAnswerWriter.js';
import { identifyCaller } from './CallerIdentity.js';
import { readKeyText } from './RequestReader.js';

import type { FrontEnd } from './FrontEnd.js';
import type { Instance } from './Instance.js';
import { OpenAiFrontEnd } from './OpenAiFrontEnd.js';
import { ServiceFrontEnd } from './ServiceFrontEnd.js';

const MILLISECONDS_PER_SECOND = 1000;

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

function sendJson(response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

function sendFailure(response: ServerResponse, identifier: string, error: unknown): void {
  const { status, headers, body } = errorResponse({
    failure: failureOf(error),
    requestIdentifier: identifier,
    notRun: true,
  });
  response.writeHead(status, headers);
  response.end(JSON.stringify(body));
}

/** The callers' HTTP interface of an instance. */
export class CallersInterface {
  private readonly instance: Instance;

  constructor(instance: Instance) {
    this.instance = instance;
  }

  /** Makes the service that the broker of the instance runs. */
  schema(onServer: (server: Server) => void): ServiceSchema {
    const { settings } = this.instance;
    const openAi = this.relayHandler(new OpenAiFrontEnd(this.instance.view, settings.limits));
    const services = this.relayHandler(new ServiceFrontEnd(this.instance.view, settings.limits));
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
          sendFailure(response, this.instance.nextRequestIdentifier(), error);
        },
        routes: [
          {
            path: '/',
            bodyParsers: false,
            mappingPolicy: 'restrict',
            aliases: {
              'POST /v1/chat/completions': openAi,
              'POST /v1/completions': openAi,
              'GET /v1/models': this.modelsHandler(),
              'GET /health/live': this.liveHandler(),
              'GET /health/ready': this.readyHandler(),
              'GET /admin/status': this.statusHandler(),
              '/services/(.*)': services,
            },
          },
        ],
      },
      methods: {
        createServer(this: { server?: Server; httpHandler: Handler }) {
          const server = createServer(
            {
              maxHeaderSize: settings.limits.headerBytes,
              requestTimeout: settings.limits.requestSeconds * MILLISECONDS_PER_SECOND,
              headersTimeout: settings.limits.requestSeconds * MILLISECONDS_PER_SECOND,
            },
            this.httpHandler,
          );
          this.server = server;
          onServer(server);
        },
      },
    };
  }

  private relayHandler(frontEnd: FrontEnd<IncomingMessage>): Handler {
    return (request, response) => {
      void this.relay(frontEnd, request, response);
    };
  }

  private async relay(
    frontEnd: FrontEnd<IncomingMessage>,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestIdentifier = this.instance.nextRequestIdentifier();
    try {
      this.instance.assertTakesWork();
      const arrivalMilliseconds = this.instance.clock.monotonicMilliseconds();
      const call = await frontEnd.decode({ request, requestIdentifier, arrivalMilliseconds });
      const exchange = this.instance.open(call);
      response.once('close', () => {
        exchange.cancel(
          new RelayError({ kind: FailureKind.Cancelled, reason: 'the caller has gone' }),
        );
      });
      await exchange.run(new HttpAnswerWriter(response, requestIdentifier));
    } catch (error) {
      sendFailure(response, requestIdentifier, error);
    }
  }

  private modelsHandler(): Handler {
    return (request, response) => {
      try {
        const { view } = this.instance;
        const identity = identifyCaller(view, readKeyText(request));
        const data = view.declarations
          .modelsOf(identity.account)
          .map((id) => ({ id, object: 'model', created: 0, owned_by: 'hickoryrelay' }));
        sendJson(response, 200, { object: 'list', data });
      } catch (error) {
        sendFailure(response, this.instance.nextRequestIdentifier(), error);
      }
    };
  }

  private liveHandler(): Handler {
    return (request, response) => sendJson(response, 200, { live: true });
  }

  private readyHandler(): Handler {
    return (request, response) => {
      const { isReady } = this.instance;
      sendJson(response, isReady ? 200 : 503, { ready: isReady });
    };
  }

  private statusHandler(): Handler {
    return (request, response) => sendJson(response, 200, this.instance.status());
  }
}
