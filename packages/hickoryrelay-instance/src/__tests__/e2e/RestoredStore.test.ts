import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { HEAD_KEY } from 'hickoryrelay-platform/ConfigurationStore';
import { DaemonProcess } from 'hickoryrelay-standin/DaemonProcess';
import { LocalFederation, sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

const ZONE = 'zone-a';

/** After each restore the authority is acquired up to 24 s later, in real time. */
const TEST_TIMEOUT_MILLISECONDS = 120_000;

describe('a daemon whose key-value service is restored from an older copy', () => {
  const federation = new LocalFederation();
  let daemon: DaemonProcess;

  beforeAll(async () => {
    await federation.start();
    await federation.apply(sampleDeclarations());
    daemon = await DaemonProcess.start('instance-1', ZONE, {
      keyValue: federation.gateway.url,
      platform: federation.platform.url,
    });
  });

  afterAll(async () => {
    daemon.signal('SIGKILL');
    await federation.stop();
  });

  // Guards against a restore of which neither the log nor the metrics tell.
  it('logs the restore and counts the era', async () => {
    const { table } = federation.gateway;
    const copy = table.copy();
    table.commit({
      compare: [],
      success: [{ type: 'put', key: '/lost', value: 'value' }],
      failure: [],
    });
    await daemon.waitUntil(async () => (await daemon.isReady()) && daemon.log !== '');
    table.restore(copy);
    const sentence = 'The key-value service has been restored from an older copy.';
    await daemon.waitUntil(() => daemon.log.includes(sentence));
    const line = daemon.log.split('\n').find((text) => text.includes(sentence));
    expect(JSON.parse(line ?? '')).toMatchObject({
      level: 'warn',
      message: `[platform] ${sentence}`,
      clusterBefore: '14841639',
      clusterAfter: '14841640',
    });
    const metrics = await request(`${daemon.url}/metrics`);
    expect(await metrics.body.text()).toContain('\nhickoryrelay_key_value_service_era 1\n');
  });

  // Guards against an acknowledged change that is in force and that nobody writes into the store again.
  it(
    'puts the configuration in force back, and its next term has a higher fencing number',
    async () => {
      const { table } = federation.gateway;
      const storedRevision = () => {
        const [head] = table.range(HEAD_KEY).values;
        return (JSON.parse(head?.value ?? '{}') as { revision?: number }).revision;
      };
      const fencingNumber = async () => {
        const status = await request(`${daemon.url}/admin/status`);
        return ((await status.body.json()) as { fencingNumber?: number }).fencingNumber ?? 0;
      };
      await daemon.waitUntil(async () => (await fencingNumber()) > 0);
      const numberBefore = await fencingNumber();
      const copy = table.copy();
      const document = sampleDeclarations();
      document.staleKeySeconds += 1;
      await federation.apply(document);
      const revision = storedRevision();
      await daemon.waitUntil(() => daemon.log.includes(`"revision":${revision}`));
      table.restore(copy, { keepsClusterIdentifier: true });
      expect(storedRevision()).toBe(Number(revision) - 1);
      await daemon.waitUntil(() => storedRevision() === revision);
      await daemon.waitUntil(async () => (await fencingNumber()) > numberBefore);
      expect(daemon.log).toContain('The configuration in force was put back into the store.');
    },
    TEST_TIMEOUT_MILLISECONDS,
  );
});
