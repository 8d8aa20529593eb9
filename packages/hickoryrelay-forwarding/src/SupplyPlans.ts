import { z } from 'zod';
import { StageShare } from 'hickoryrelay-supply/StageShare';
import { SupplyPlan } from 'hickoryrelay-supply/SupplyPlan';

import type { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';

const STORE_KEY = '/hickoryrelay/supply/plans';

/** A plan that is older says little about the work of now. */
const MAXIMUM_AGE_MILLISECONDS = 300_000;

/** Engines in a zone beyond which a stored plan counts as invalid. */
const MAXIMUM_PLANNED = 100_000;

const storedSchema = z.object({
  writtenMilliseconds: z.number(),
  plans: z.record(
    z.string(),
    z.object({
      enginesPerZone: z.number().int().min(1).max(MAXIMUM_PLANNED).optional(),
      prefillShare: z.number().min(0).max(1),
    }),
  ),
});

type StoredPlans = z.infer<typeof storedSchema>;

function decodeStored(value: string): StoredPlans | undefined {
  try {
    return storedSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}

/** The plan of one service. */
export interface ServicePlan {
  readonly supply: SupplyPlan;
  readonly stages: StageShare;
}

/**
 * The plans of all services. They are kept in the store, so that a new holder of the authority continues
 * them: engines that are ordered back and handed back again start with empty caches.
 */
export class SupplyPlans {
  private readonly store: KeyValueStore;

  private readonly plans = new Map<string, ServicePlan>();

  private stored: string | undefined;

  private hasLoaded = false;

  constructor(store: KeyValueStore) {
    this.store = store;
  }

  /** True once the store has been read. */
  get isLoaded(): boolean {
    return this.hasLoaded;
  }

  /** The plan of a service, which begins without one. */
  planOf(service: string): ServicePlan {
    const plan = this.plans.get(service) ?? { supply: new SupplyPlan(), stages: new StageShare() };
    this.plans.set(service, plan);
    return plan;
  }

  /** Continues the plans in the store once, unless they are old or invalid. */
  async load(wallMilliseconds: number): Promise<void> {
    if (this.hasLoaded) {
      return;
    }
    const entry = await this.store.get(STORE_KEY);
    this.hasLoaded = true;
    const stored = entry === undefined ? undefined : decodeStored(entry.value);
    const age = wallMilliseconds - (stored?.writtenMilliseconds ?? Number.NEGATIVE_INFINITY);
    if (stored === undefined || Math.abs(age) > MAXIMUM_AGE_MILLISECONDS) {
      return;
    }
    for (const [service, { enginesPerZone, prefillShare }] of Object.entries(stored.plans)) {
      this.plans.set(service, {
        supply: new SupplyPlan(enginesPerZone),
        stages: new StageShare(prefillShare),
      });
    }
    this.stored = this.encode();
  }

  /**
   * Writes the plans if they have changed since the last time. The write has no condition: one that takes
   * effect late, or that of an earlier holder, only brings back a plan that was good a moment before.
   */
  async save(wallMilliseconds: number): Promise<void> {
    const encoded = this.encode();
    const hasPlan = [...this.plans.values()].some(({ supply }) => supply.planned !== undefined);
    if (!hasPlan || encoded === this.stored) {
      return;
    }
    const value = JSON.stringify({
      writtenMilliseconds: wallMilliseconds,
      plans: JSON.parse(encoded) as unknown,
    });
    await this.store.commit({
      compare: [],
      success: [{ type: 'put', key: STORE_KEY, value }],
      failure: [],
    });
    this.stored = encoded;
  }

  private encode(): string {
    const entries = [...this.plans].map(([service, { supply, stages }]) => [
      service,
      { enginesPerZone: supply.planned, prefillShare: stages.current },
    ]);
    return JSON.stringify(Object.fromEntries(entries));
  }
}
