import { request } from 'undici';
import { z } from 'zod';
import { FailureKind } from 'hickoryrelay/Failure';
import { failureOf, RelayError } from 'hickoryrelay/RelayError';
import { readBodyText } from 'hickoryrelay/ResponseBodyUtils';
import { EngineUsageSource } from 'hickoryrelay-usage/EngineUsageSource';

import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';
import type { EngineCount } from 'hickoryrelay-usage/EngineUsageSource';

const TIMEOUT_MILLISECONDS = 2000;
const OK = 200;
const NOT_FOUND = 404;

/** The count of one request has a few numbers. */
const MAXIMUM_RESPONSE_BYTES = 16_384;

const countSchema = z.object({
  prompt_tokens: z.number().int().nonnegative(),
  completion_tokens: z.number().int().nonnegative(),
  finished: z.boolean(),
});

/** Reads the tokens that an engine counted for a request, by `GET /requests/<id>`. */
export class HttpEngineUsageSource extends EngineUsageSource {
  private readonly findEndpoint: (identifier: string) => Endpoint | undefined;

  constructor(findEndpoint: (identifier: string) => Endpoint | undefined) {
    super();
    this.findEndpoint = findEndpoint;
  }

  override async count(
    endpoint: string,
    requestIdentifier: string,
  ): Promise<EngineCount | undefined> {
    const location = this.findEndpoint(endpoint)?.location;
    if (location === undefined) {
      throw HttpEngineUsageSource.failed(endpoint, 'the endpoint is not in the fleet');
    }
    try {
      const path = `/requests/${encodeURIComponent(requestIdentifier)}`;
      const response = await request(`${location.url}${path}`, {
        signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
      });
      const text = await readBodyText(response.body, MAXIMUM_RESPONSE_BYTES, endpoint);
      if (response.statusCode === NOT_FOUND) {
        return undefined;
      }
      if (response.statusCode !== OK) {
        throw HttpEngineUsageSource.failed(endpoint, `status ${response.statusCode}`);
      }
      const count = countSchema.parse(JSON.parse(text));
      return {
        isFinished: count.finished,
        promptTokens: count.prompt_tokens,
        completionTokens: count.completion_tokens,
      };
    } catch (error) {
      throw error instanceof RelayError
        ? error
        : HttpEngineUsageSource.failed(endpoint, 'failed to read the token count', error);
    }
  }

  private static failed(endpoint: string, reason: string, cause?: unknown): RelayError {
    const detail = cause === undefined ? reason : `${reason}: ${failureOf(cause).kind}`;
    return new RelayError(
      { kind: FailureKind.EndpointFailed, endpoint, reason: detail, mayHaveRun: false },
      cause,
    );
  }
}
