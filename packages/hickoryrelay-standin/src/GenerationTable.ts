import type { JsonResponse } from './JsonServer.js';

const MAXIMUM_GENERATIONS = 10_000;

interface Generation {
  promptTokens: number;
  completionTokens: number;
  /** Number of attempts that are generating. */
  attempts: number;
}

/** Tracks the tokens generated for each request by all its attempts on an engine stand-in. */
export class GenerationTable {
  private readonly generations = new Map<string, Generation>();

  /** Starts an attempt. Returns the function that ends it. */
  begin(requestIdentifier: string, promptTokens: number): () => void {
    const generation = this.find(requestIdentifier);
    generation.promptTokens = promptTokens;
    generation.attempts += 1;
    return () => {
      generation.attempts -= 1;
    };
  }

  /** Records the number of tokens generated so far. */
  record(requestIdentifier: string, completionTokens: number): void {
    const generation = this.find(requestIdentifier);
    generation.completionTokens = Math.max(completionTokens, generation.completionTokens);
  }

  tokens(requestIdentifier: string): number | undefined {
    return this.generations.get(requestIdentifier)?.completionTokens;
  }

  /** Handles `GET /requests/<id>`. */
  answer(requestIdentifier: string): JsonResponse {
    const generation = this.generations.get(requestIdentifier);
    if (generation === undefined) {
      return { status: 404, body: { error: { message: 'unknown request' } } };
    }
    return {
      status: 200,
      body: {
        request_id: requestIdentifier,
        prompt_tokens: generation.promptTokens,
        completion_tokens: generation.completionTokens,
        finished: generation.attempts === 0,
      },
    };
  }

  private find(requestIdentifier: string): Generation {
    let generation = this.generations.get(requestIdentifier);
    if (generation === undefined) {
      generation = { promptTokens: 0, completionTokens: 0, attempts: 0 };
      this.generations.set(requestIdentifier, generation);
      if (this.generations.size > MAXIMUM_GENERATIONS) {
        const [oldest] = this.generations.keys();
        this.generations.delete(oldest ?? '');
      }
    }
    return generation;
  }
}
