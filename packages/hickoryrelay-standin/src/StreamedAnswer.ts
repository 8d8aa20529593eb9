import { once } from 'node:events';

import type { ServerResponse } from 'node:http';

/** The request that foreign pieces and answers belong to. */
export const FOREIGN_REQUEST = 'another-request';

/** The body of a request for a completion, as far as the stand-in reads it. */
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

/** The events of one streamed answer. Each token carries its position in the whole answer. */
export class StreamedAnswer {
  readonly response: ServerResponse;

  readonly body: CompletionBody;

  private readonly isChat: boolean;

  private readonly numbersTokens: boolean;

  constructor(
    response: ServerResponse,
    body: CompletionBody,
    isChat: boolean,
    numbersTokens: boolean,
  ) {
    this.response = response;
    this.body = body;
    this.isChat = isChat;
    this.numbersTokens = numbersTokens;
  }

  get isClosed(): boolean {
    return this.response.destroyed;
  }

  /** Resolves when the connection can take more. */
  async sendToken(index: number, text: string): Promise<void> {
    if (!this.response.write(this.token(index, text, this.body.request_id))) {
      await Promise.race([once(this.response, 'drain'), once(this.response, 'close')]);
    }
  }

  sendForeignPiece(index: number): void {
    this.response.write(this.token(index, 'intruder ', FOREIGN_REQUEST));
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
      ...(this.numbersTokens ? position : {}),
      object: this.isChat ? 'chat.completion.chunk' : 'text_completion',
      created: 0,
      model: this.body.model,
      ...content,
    };
    return `data: ${JSON.stringify(event)}\n\n`;
  }
}
