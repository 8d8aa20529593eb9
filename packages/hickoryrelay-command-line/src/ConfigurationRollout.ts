import { request } from 'undici';
import { InstanceState } from 'hickoryrelay-platform/InstanceList';

import { ExitCode } from './Command.js';

import type { CommandContext } from './CommandContext.js';
import type { ListedInstance } from 'hickoryrelay-platform/InstanceList';

const POLL_INTERVAL_MILLISECONDS = 500;
const STATUS_TIMEOUT_MILLISECONDS = 2000;
const MILLISECONDS_PER_SECOND = 1000;

/** Status of one instance, as `GET /admin/status` gives it; undefined if it does not answer. */
export interface ReadStatus {
  readonly name: string;
  readonly zone: string;
  readonly state: string;
  readonly ready: boolean;
  readonly revision: number;
  readonly callsInFlight: number;
}

/** Asks an instance for its status. */
export async function readStatus(instance: ListedInstance): Promise<ReadStatus | undefined> {
  try {
    const response = await request(`${instance.callersUrl}/admin/status`, {
      signal: AbortSignal.timeout(STATUS_TIMEOUT_MILLISECONDS),
    });
    return (await response.body.json()) as ReadStatus;
  } catch {
    return undefined;
  }
}

/** Follows a revision until every live instance has it in force. */
export class ConfigurationRollout {
  private readonly context: CommandContext;

  constructor(context: CommandContext) {
    this.context = context;
  }

  /** Waits up to the limit of the flags, and names the instances that are still behind. */
  async follow(revision: number): Promise<ExitCode> {
    const { clock, flags } = this.context;
    if (flags.waitSeconds === 0) {
      return ExitCode.Success;
    }
    const end = clock.monotonicMilliseconds() + flags.waitSeconds * MILLISECONDS_PER_SECOND;
    let behind = await this.instancesBehind(revision);
    while (behind.length > 0 && clock.monotonicMilliseconds() < end) {
      await clock.sleep(POLL_INTERVAL_MILLISECONDS);
      behind = await this.instancesBehind(revision);
    }
    if (behind.length === 0) {
      this.context.line(`Revision ${revision} is in force at every live instance.`);
      return ExitCode.Success;
    }
    this.context.line(`Revision ${revision} is not yet in force at: ${behind.join(', ')}.`);
    return ExitCode.NotInForce;
  }

  private async instancesBehind(revision: number): Promise<string[]> {
    const listed = await this.context.platform.instances.list();
    const live = listed.filter((instance) => instance.state === InstanceState.Live);
    const states = await Promise.all(
      live.map(async (instance) => ({ name: instance.name, status: await readStatus(instance) })),
    );
    return states
      .filter(({ status }) => status === undefined || status.revision < revision)
      .map(({ name }) => name);
  }
}
