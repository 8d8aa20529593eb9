import { Agent, request as openRequest } from 'node:http';

import { build } from 'hdr-histogram-js';

import { epochMilliseconds } from './BenchMessages.js';
import type { Histogram } from 'hdr-histogram-js';
import type { ClientRequest, IncomingMessage } from 'node:http';

const MICROSECONDS_PER_MILLISECOND = 1000;
const CONTENT_PREFIX = '"content":"';
const HISTOGRAM_OPTIONS = { lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 };

/** Quantiles of a duration, in milliseconds. */
export interface Quantiles {
  readonly p50: number;
  readonly p99: number;
}

function quantiles(histogram: Histogram): Quantiles {
  return {
    p50: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
    p99: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND,
  };
}

/** Latencies that callers measured. */
export interface CallerLatencies {
  readonly firstToken: Quantiles;
  readonly gap: Quantiles;
  /** Time from the write of a token by the engine to its read by the caller. */
  readonly transit: Quantiles;
}

/** Callers that keep streams open and measure the latency of tokens. */
export class StreamCallers {
  events = 0;

  private readonly agent = new Agent({ keepAlive: false });

  private readonly requests: ClientRequest[] = [];

  private readonly firstTokens = build(HISTOGRAM_OPTIONS);

  private readonly gaps = build(HISTOGRAM_OPTIONS);

  private readonly transits = build(HISTOGRAM_OPTIONS);

  private isRecording = false;

  /** Opens one stream. Resolves when its first token arrives. */
  async open(url: string, key: string): Promise<void> {
    const openedMilliseconds = performance.now();
    await new Promise<void>((resolve, reject) => {
      const call = openRequest(`${url}/v1/chat/completions`, {
        method: 'POST',
        agent: this.agent,
        headers: { 'content-type': 'application/json', authorization: `Bearer ${key}` },
      });
      call.once('error', reject);
      call.once('response', (response) => {
        response.once('data', () => {
          this.record(this.firstTokens, performance.now() - openedMilliseconds);
          resolve();
        });
        this.trackTokens(response);
      });
      call.end(
        JSON.stringify({
          model: 'model-one',
          stream: true,
          request_id: 'measured',
          messages: [{ role: 'user', content: 'measure' }],
        }),
      );
      this.requests.push(call);
    });
  }

  /** Resets the event count and starts recording gaps and transit times. */
  startRecording(): void {
    this.events = 0;
    this.isRecording = true;
  }

  latencies(): CallerLatencies {
    return {
      firstToken: quantiles(this.firstTokens),
      gap: quantiles(this.gaps),
      transit: quantiles(this.transits),
    };
  }

  close(): void {
    for (const call of this.requests) {
      call.removeAllListeners('error').on('error', () => {});
      call.destroy();
    }
  }

  private trackTokens(response: IncomingMessage): void {
    let lastMilliseconds = 0;
    response.on('error', () => {});
    response.on('data', (chunk: Buffer) => {
      const nowMilliseconds = epochMilliseconds();
      const text = chunk.toString('latin1');
      let position = text.indexOf(CONTENT_PREFIX);
      while (position >= 0) {
        this.events += 1;
        if (this.isRecording) {
          const sentMilliseconds = Number.parseFloat(text.slice(position + CONTENT_PREFIX.length));
          this.record(this.transits, nowMilliseconds - sentMilliseconds);
          this.record(this.gaps, nowMilliseconds - lastMilliseconds);
        }
        position = text.indexOf(CONTENT_PREFIX, position + 1);
      }
      lastMilliseconds = nowMilliseconds;
    });
  }

  private record(histogram: Histogram, milliseconds: number): void {
    histogram.recordValue(Math.max(1, Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND)));
  }
}
