import { Endpoint } from './Endpoint.js';
import { EngineLoad } from './EngineLoad.js';
import { PrefixIndex } from './PrefixIndex.js';

/** The share of model work that an engine does. */
export const EngineRole = { Prefill: 'prefill', Decode: 'decode', Mixed: 'mixed' } as const;

export type EngineRole = (typeof EngineRole)[keyof typeof EngineRole];

/** An endpoint that runs language models. */
export class Engine extends Endpoint {
  readonly load = new EngineLoad();

  readonly prefixes = new PrefixIndex();

  /** No more than the free places of the batch: calls wait better where their order can change. */
  override get room(): number {
    return Math.min(super.room, this.load.freeSlots);
  }

  servesModel(model: string): boolean {
    return this.kind.models.includes(model);
  }
}
