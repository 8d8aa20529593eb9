import { Endpoint } from './Endpoint.js';
import { EngineLoad } from './EngineLoad.js';
import { PrefixIndex } from './PrefixIndex.js';

export { EngineRole } from './EngineRole.js';

/** A model endpoint: an endpoint that runs inference of language models. */
export class Engine extends Endpoint {
  readonly load = new EngineLoad();

  readonly prefixIndex = new PrefixIndex();

  /**
   * Also limited by the free batch slots: a call that waits in this instance can still be reordered
   * or sent elsewhere, unlike a call that waits in the engine's queue.
   */
  override get freeCapacity(): number {
    return Math.min(super.freeCapacity, this.load.freeSlots);
  }

  servesModel(model: string): boolean {
    return this.kind.models.includes(model);
  }
}
