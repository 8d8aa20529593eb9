import { Agent, request as openRequest } from 'node:http';

import { build } from 'hdr-histogram-js';

import { epochMilliseconds } from './BenchMessages.js';
import type { Histogram } from 'hdr-histogram-js';
import type { ClientRequest, IncomingMessage } from 'node:http';

const MICROSECONDS_PER_MILLISECOND = 1000;
const TEXT_MARK = '"content":"';
const HISTOGRAM_OPTIONS = { lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 };

/** Quantiles of a time, in milliseconds. */
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

/** What callers saw. */
export interface CallerFigures {
  readonly firstToken: Quantiles;
  readonly gap: Quantiles;
  /** From the engine's write to the caller's read of a token. */
  readonly transit: Quantiles;
}

/** Callers that hold streams open and time their tokens. */
export class StreamCallers {
  events = 0;

  private readonly agent = new Agent({ keepAlive: false });

  private readonly requests: ClientRequest[] = [];

  private readonly firstTokens = build(HISTOGRAM_OPTIONS);

  private readonly gaps = build(HISTOGRAM_OPTIONS);

  private readonly transits = build(HISTOGRAM_OPTIONS);

  private isRecording = false;

  /** Opens one stream. Resolves with its first token. */
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
        this.follow(response);
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

  /** Starts to time gaps and transits. */
  startRecording(): void {
    this.events = 0;
    this.isRecording = true;
  }

  figures(): CallerFigures {
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

  private follow(response: IncomingMessage): void {
    let lastMilliseconds = 0;
    response.on('error', () => {});
    response.on('data', (piece: Buffer) => {
      const nowMilliseconds = epochMilliseconds();
      const text = piece.toString('latin1');
      let at = text.indexOf(TEXT_MARK);
      while (at >= 0) {
        this.events += 1;
        if (this.isRecording) {
          const sentMilliseconds = Number.parseFloat(text.slice(at + TEXT_MARK.length));
          this.record(this.transits, nowMilliseconds - sentMilliseconds);
          this.record(this.gaps, nowMilliseconds - lastMilliseconds);
        }
        at = text.indexOf(TEXT_MARK, at + 1);
      }
      lastMilliseconds = nowMilliseconds;
    });
  }

  private record(histogram: Histogram, milliseconds: number): void {
    histogram.recordValue(Math.max(1, Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND)));
  }
}
