import { LogPrefix } from 'hickoryrelay/Logger';
import { Engine } from 'hickoryrelay-endpoint/Engine';
import { HttpOrderLink } from 'hickoryrelay-link/OrderLink';
import { EndpointOrderDispatcher } from 'hickoryrelay-zone/EndpointOrderDispatcher';
import { FencingCounterTask } from 'hickoryrelay-zone/FencingCounterTask';
import { FencingFloor } from 'hickoryrelay-zone/FencingFloor';
import { PolicyPlanner } from 'hickoryrelay-zone/PolicyPlanner';
import { DemandRolePolicy } from 'hickoryrelay-zone/RolePolicy';
import { SupplyOrderDispatcher } from 'hickoryrelay-zone/SupplyOrderDispatcher';
import { DemandSupplyPolicy } from 'hickoryrelay-zone/SupplyPolicy';
import { ZoneAuthority } from 'hickoryrelay-zone/ZoneAuthority';
import { ZoneControlTask } from 'hickoryrelay-zone/ZoneControlTask';

import type { Clock } from 'hickoryrelay/Clock';
import type { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { Task } from 'hickoryrelay/Task';
import type { EndpointSupply } from 'hickoryrelay-platform/EndpointSupply';
import type { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';
import type { AuthorityTerm } from 'hickoryrelay-zone/AuthorityTerm';
import type { Fleet } from 'hickoryrelay-zone/Fleet';
import type { ZoneObserver } from 'hickoryrelay-zone/PolicyPlanner';

const INCARNATION_BYTES = 8;

export interface ZoneControllerParts {
  readonly instance: { readonly name: string; readonly zone: string };
  readonly store: KeyValueStore;
  readonly supply: EndpointSupply;
  readonly fleet: Fleet;
  readonly observer: ZoneObserver;
  /** Creates the task that keeps the observer up to date during a term. */
  readonly createObservationTask?: (term: AuthorityTerm) => Task;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly lifecycle: LifecycleManager;
  readonly log: (prefix: LogPrefix) => ComponentLogger;
}

/** Contends for the authority over the zone, and issues orders while this instance holds it. */
export class ZoneController {
  readonly authority: ZoneAuthority;

  private readonly floor: FencingFloor;

  private readonly parts: ZoneControllerParts;

  constructor(parts: ZoneControllerParts) {
    this.parts = parts;
    const { instance, store, random, lifecycle, clock } = parts;
    this.floor = new FencingFloor(clock);
    this.authority = new ZoneAuthority({
      zone: instance.zone,
      holder: `${instance.name}/${random.identifier(INCARNATION_BYTES)}`,
      store,
      random,
      lifecycle,
      log: parts.log(LogPrefix.Authority),
      fencingFloor: () => this.floor.highest,
      mayBeVacant: () => !this.floor.mayEarlierTermBeHeld,
      createTasks: (term) => {
        if (this.floor.isAssignedBefore(term)) {
          // The store was restored from an older copy; the next term gets a higher number.
          term.end();
          return [];
        }
        this.floor.record(term.fencingNumber);
        const observation = parts.createObservationTask?.(term);
        return [this.orders(term), ...(observation === undefined ? [] : [observation])];
      },
    });
  }

  start(): void {
    const { instance, store, random, lifecycle, log } = this.parts;
    const { authority, floor } = this;
    lifecycle.own('fencing floor', floor.observe(store.era));
    lifecycle.start(authority);
    lifecycle.start(
      new FencingCounterTask({
        zone: instance.zone,
        store,
        floor,
        currentTerm: () => authority.currentTerm,
        random,
        log: log(LogPrefix.Authority),
      }),
    );
  }

  private orders(term: AuthorityTerm): Task {
    const { store, supply, clock, random, fleet, instance, observer, log } = this.parts;
    return new ZoneControlTask({
      term,
      orders: new EndpointOrderDispatcher({
        term,
        store,
        clock,
        random,
        openLink: (identifier, check) => {
          const endpoint = fleet.zone(instance.zone).find(identifier);
          return endpoint instanceof Engine
            ? new HttpOrderLink(endpoint.location, check)
            : undefined;
        },
        floor: this.floor,
      }),
      supply: new SupplyOrderDispatcher({ term, store, supply, clock, random }),
      planner: new PolicyPlanner({
        observer,
        roles: new DemandRolePolicy(),
        supply: new DemandSupplyPolicy(),
        log: log(LogPrefix.Orders),
      }),
      log: log(LogPrefix.Orders),
    });
  }
}
