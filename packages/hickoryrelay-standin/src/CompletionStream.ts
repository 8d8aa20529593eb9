import { once } from 'node:events';

import type { ServerResponse } from 'node:http';

/** Request identifier in chunks and responses that belong to another request. */
export const FOREIGN_REQUEST_IDENTIFIER = 'another-request';

/** The fields of a completion request that the stand-in reads. */
export interface CompletionBody {
  readonly model: string;
  readonly stream?: boolean;
  readonly request_id?: string;
  readonly max_tokens?: number;
  readonly prefix_keys?: readonly string[];
  readonly messages?: unknown;
  readonly prompt?: unknown;
  readonly resume?: { readonly delivered_tokens: number; readonly delivered_text: string };
}

/**
 * Writes the server-sent events of one streamed completion. Each token carries its index in the whole
 * completion unless `includesTokenIndex` is false.
 */
export class CompletionStream {
  readonly response: ServerResponse;

  readonly body: CompletionBody;

  private readonly isChat: boolean;

  private readonly includesTokenIndex: boolean;

  constructor(
    response: ServerResponse,
    body: CompletionBody,
    isChat: boolean,
    includesTokenIndex: boolean,
  ) {
    this.response = response;
    this.body = body;
    this.isChat = isChat;
    this.includesTokenIndex = includesTokenIndex;
  }

  get isClosed(): boolean {
    return this.response.destroyed;
  }

  /** Sends a token and resolves when the connection can take more data. */
  async sendToken(index: number, text: string): Promise<void> {
    if (!this.response.write(this.token(index, text, this.body.request_id))) {
      await Promise.race([once(this.response, 'drain'), once(this.response, 'close')]);
    }
  }

  sendForeignChunk(index: number): void {
    this.response.write(this.token(index, 'intruder ', FOREIGN_REQUEST_IDENTIFIER));
  }

  repeatToken(index: number, text: string, wasSent: boolean): void {
    if (wasSent) {
      this.response.write(this.token(index, text, this.body.request_id));
    }
  }

  sendEnd(tokens: number, usage: object): void {
    const last = this.isChat
      ? { index: 0, delta: {}, finish_reason: 'stop' }
      : { index: 0, text: '', finish_reason: 'stop' };
    this.response.write(this.event({ token_index: tokens }, { choices: [last] }));
    this.response.write(this.event({}, { choices: [], usage }));
    this.response.end('data: [DONE]\n\n');
  }

  crash(): void {
    this.response.destroy();
  }

  close(): void {
    this.response.end();
  }

  private token(index: number, text: string, requestIdentifier: string | undefined): string {
    const choice = this.isChat
      ? { index: 0, delta: { content: text }, finish_reason: null }
      : { index: 0, text, finish_reason: null };
    return this.event({ token_index: index }, { choices: [choice] }, requestIdentifier);
  }

  private event(
    position: object,
    content: object,
    requestIdentifier = this.body.request_id,
  ): string {
    const event = {
      id: requestIdentifier,
      ...(this.includesTokenIndex ? position : {}),
      object: this.isChat ? 'chat.completion.chunk' : 'text_completion',
      created: 0,
      model: this.body.model,
      ...content,
    };
    return `data: ${JSON.stringify(event)}\n\n`;
  }
}
