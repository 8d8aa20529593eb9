import { Pool } from 'undici';

const OK = 200;

/** Callers that send sequential calls without streaming and read each response to its end. */
export class NonStreamingCallers {
  answered = 0;

  private readonly pool: Pool;

  private readonly key: string;

  private isOpen = true;

  private readonly loops: Promise<void>[] = [];

  constructor(url: string, key: string, callers: number) {
    this.pool = new Pool(url, { connections: callers, pipelining: 1 });
    this.key = key;
    for (let index = 0; index < callers; index += 1) {
      this.loops.push(this.callInLoop());
    }
  }

  async close(): Promise<void> {
    this.isOpen = false;
    await Promise.all(this.loops);
    await this.pool.close();
  }

  private async callInLoop(): Promise<void> {
    while (this.isOpen) {
      const { body, statusCode } = await this.pool.request({
        method: 'POST',
        path: '/v1/chat/completions',
        headers: { 'content-type': 'application/json', authorization: `Bearer ${this.key}` },
        body: JSON.stringify({
          model: 'model-one',
          request_id: 'measured',
          messages: [{ role: 'user', content: 'measure' }],
        }),
      });
      await body.dump();
      this.answered += statusCode === OK ? 1 : 0;
    }
  }
}
