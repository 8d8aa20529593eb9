import { request } from 'undici';
import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { readBodyText } from 'hickoryrelay/ResponseBodyUtils';
import { InstanceState } from 'hickoryrelay-platform/InstanceList';

import { ExitCode } from './Command.js';

import type { CommandContext } from './CommandContext.js';
import type { ListedInstance } from 'hickoryrelay-platform/InstanceList';

const POLL_INTERVAL_MILLISECONDS = 500;
const STATUS_TIMEOUT_MILLISECONDS = 2000;
const MILLISECONDS_PER_SECOND = 1000;

/** A status has about ten short fields. */
const MAXIMUM_STATUS_BYTES = 65_536;

/** Status of an instance, as returned by `GET /admin/status`. */
export interface InstanceStatus {
  readonly name: string;
  readonly zone: string;
  readonly state: string;
  readonly ready: boolean;
  readonly revision: number;
  readonly callsInFlight: number;
}

/** Requests the status of an instance. Returns undefined if the request fails or times out. */
export async function fetchInstanceStatus(
  instance: ListedInstance,
): Promise<InstanceStatus | undefined> {
  try {
    const response = await request(`${instance.callersUrl}/admin/status`, {
      signal: AbortSignal.timeout(STATUS_TIMEOUT_MILLISECONDS),
    });
    const text = await readBodyText(response.body, MAXIMUM_STATUS_BYTES, instance.name);
    return JSON.parse(text) as InstanceStatus;
  } catch {
    return undefined;
  }
}

function fetchLiveStatuses(
  instances: readonly ListedInstance[],
): Promise<{ name: string; status: InstanceStatus | undefined }[]> {
  const live = instances.filter(({ state }) => state === InstanceState.Live);
  return Promise.all(
    live.map(async (instance) => ({
      name: instance.name,
      status: await fetchInstanceStatus(instance),
    })),
  );
}

/**
 * Returns the highest revision in force at a live instance, or 0 if none states one. It is higher than
 * the stored one if the store has been restored from an older copy.
 */
export async function findRevisionInForce(context: CommandContext): Promise<number> {
  try {
    const statuses = await fetchLiveStatuses(await context.platform.instances.list());
    return Math.max(0, ...statuses.map(({ status }) => status?.revision ?? 0));
  } catch (error) {
    // A key has to be withdrawn even if the list of instances is not available.
    const reason = describeFailure(failureOf(error));
    context.writeLine(`The revision in force is not known: ${reason}`);
    return 0;
  }
}

/** Polls the live instances until all of them have applied a revision. */
export class ConfigurationRollout {
  private readonly context: CommandContext;

  constructor(context: CommandContext) {
    this.context = context;
  }

  /** Waits at most `waitSeconds`, then reports the instances that have not applied the revision. */
  async waitForCompletion(revision: number): Promise<ExitCode> {
    const { clock, flags } = this.context;
    if (flags.waitSeconds === 0) {
      return ExitCode.Success;
    }
    const waitEndMilliseconds =
      clock.monotonicMilliseconds() + flags.waitSeconds * MILLISECONDS_PER_SECOND;
    let pendingInstances = await this.listPendingInstances(revision);
    while (pendingInstances.length > 0 && clock.monotonicMilliseconds() < waitEndMilliseconds) {
      await clock.sleep(POLL_INTERVAL_MILLISECONDS);
      pendingInstances = await this.listPendingInstances(revision);
    }
    if (pendingInstances.length === 0) {
      this.context.writeLine(`Revision ${revision} is active on every live instance.`);
      return ExitCode.Success;
    }
    this.context.writeLine(
      `Revision ${revision} is not yet active on: ${pendingInstances.join(', ')}.`,
    );
    return ExitCode.RolloutIncomplete;
  }

  private async listPendingInstances(revision: number): Promise<string[]> {
    const statuses = await fetchLiveStatuses(await this.context.platform.instances.list());
    return statuses
      .filter(({ status }) => status === undefined || status.revision < revision)
      .map(({ name }) => name);
  }
}
