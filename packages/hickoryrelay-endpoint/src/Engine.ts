import { Endpoint } from './Endpoint.js';
import { EngineLoad } from './EngineLoad.js';
import { PrefixIndex } from './PrefixIndex.js';

export { EngineRole } from './EngineRole.js';

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
