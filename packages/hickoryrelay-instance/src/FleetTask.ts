import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import type { ConfigurationView } from './ConfigurationView.js';
import type { EndpointLinks } from './EndpointLinks.js';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { TaskContext } from 'hickoryrelay/Task';
import type { EndpointSupply } from 'hickoryrelay-platform/EndpointSupply';
import type { Fleet } from 'hickoryrelay-zone/Fleet';

const READ_INTERVAL_MILLISECONDS = 1000;

/** Updates the fleet from the platform's list of endpoints. */
export class FleetTask extends Task {
  override readonly name = 'fleet reader';

  private readonly supply: EndpointSupply;

  private readonly fleet: Fleet;

  private readonly view: ConfigurationView;

  private readonly links: EndpointLinks;

  private readonly log: ComponentLogger;

  constructor(
    supply: EndpointSupply,
    fleet: Fleet,
    view: ConfigurationView,
    links: EndpointLinks,
    log: ComponentLogger,
  ) {
    super();
    this.supply = supply;
    this.fleet = fleet;
    this.view = view;
    this.links = links;
    this.log = log;
  }

  protected override async *steps({
    clock,
    signal,
  }: TaskContext): AsyncGenerator<void, void, void> {
    for (;;) {
      if (this.view.revision > 0) {
        await this.readEndpoints();
      }
      yield;
      await clock.sleep(this.view.revision > 0 ? READ_INTERVAL_MILLISECONDS : 50, signal);
    }
  }

  private async readEndpoints(): Promise<void> {
    try {
      const supplied = await this.supply.list();
      const removed = this.fleet.update(supplied, this.view.declarations.endpointKinds);
      await Promise.all(removed.map((endpoint) => this.links.closeLink(endpoint)));
    } catch (error) {
      this.log.warn('Failed to read the list of endpoints.', {
        reason: describeFailure(failureOf(error)),
      });
    }
  }
}
