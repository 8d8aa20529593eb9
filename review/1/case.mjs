/* eslint no-await-in-loop: "off", no-restricted-syntax: "off", max-classes-per-file: "off", no-void: "off", import-x/extensions: "off", import-x/prefer-default-export: "off" */
import { setTimeout as sleep } from 'node:timers/promises';

import { send } from '../lib/Caller.mjs';
import { Deployment } from '../lib/Deployment.mjs';
import { EngineStandIn } from '../lib/EngineStandIn.mjs';

/** `quick-ask` of SYSTEM.md: 5 events, with pauses of up to 150 ms. */
const EVENTS = 5;
const EVENT_GAP_MILLISECONDS = 140;

/** Clients, and the time for which they send one request after the other. */
const CALLERS = 21;
const TRAFFIC_MILLISECONDS = 9000;

/** One of the two engines sends one response in 20 without a length. */
const UNFRAMED_PERIOD = 20;

const EARLIEST_KILL_MILLISECONDS = 2000;
const RESTART_DELAY_MILLISECONDS = 500;

const hasTrouble = process.env.TROUBLE !== '0';

function eventOf(number) {
  return `id: ${number}\ndata: piece ${number}\n\n`;
}

const WHOLE_BODY = Array.from({ length: EVENTS }, (_item, index) => eventOf(index + 1)).join('');

async function streamResponse(socket, { headers }, isUnframed) {
  const framing = isUnframed ? 'Connection: close' : 'Transfer-Encoding: chunked';
  socket.write(
    `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: ${headers.get('x-request-id')}\r\nX-Response-Signature: signed\r\n${framing}\r\n\r\n`,
  );
  for (let number = 1; number <= EVENTS && !socket.destroyed; number += 1) {
    const event = eventOf(number);
    socket.write(isUnframed ? event : `${event.length.toString(16)}\r\n${event}\r\n`);
    await sleep(EVENT_GAP_MILLISECONDS);
  }
  if (isUnframed) {
    socket.end();
  } else {
    socket.write('0\r\n\r\n');
  }
}

/** Kills the machine of the first response without a length that is in the middle of its events. */
class Killer {
  constructor() {
    this.startedAt = performance.now();
    this.hasKilled = !hasTrouble;
  }

  observe(instance, bytes) {
    const text = bytes.toString('latin1');
    const events = text.split('data: ').length - 1;
    const isInMiddle = events >= 2 && events < EVENTS;
    const isUnframed =
      text.includes('\r\n\r\n') && !/transfer-encoding|content-length/iu.test(text);
    const isLate = performance.now() - this.startedAt > EARLIEST_KILL_MILLISECONDS;
    if (!this.hasKilled && isInMiddle && isUnframed && isLate) {
      this.hasKilled = true;
      instance.signal('SIGKILL');
      void instance.ended
        .then(() => sleep(RESTART_DELAY_MILLISECONDS))
        .then(() => instance.start());
    }
  }
}

async function call(deployment, killer, instance, identifier) {
  deployment.record('sent', { request: identifier, instance: instance.name });
  const { response, end } = await send({
    port: instance.port,
    path: '/stream/review',
    headers: { 'X-Request-Id': identifier, 'X-Request-Timeout-Ms': '3000' },
    onData: (bytes) => killer.observe(instance, bytes),
  });
  const isWhole = response?.body.toString('latin1') === WHOLE_BODY;
  const isBroken = response?.status === 200 && response.isComplete && !isWhole;
  deployment.record('answer', {
    request: identifier,
    instance: instance.name,
    status: response?.status,
    signature: response?.headers.get('x-response-signature'),
    framing: response?.framing,
    end,
    looksComplete: response?.isComplete,
    events: (response?.body.toString('latin1').split('data: ').length ?? 1) - 1,
    of: EVENTS,
    isBroken,
  });
  return { isBroken, isServed: response?.status === 200 && response.isComplete && isWhole };
}

async function run(deployment, engines) {
  const answered = { count: 0 };
  for (const [identifier, canLackLength] of [
    ['i-engine-1', true],
    ['i-engine-2', false],
  ]) {
    const engine = new EngineStandIn(identifier, (socket, request) => {
      let isUnframed = false;
      if (canLackLength) {
        answered.count += 1;
        isUnframed = answered.count % UNFRAMED_PERIOD === 0;
      }
      deployment.record('run', { request: request.headers.get('x-request-id'), isUnframed });
      void streamResponse(socket, request, isUnframed);
    });
    engines.push(engine);
    deployment.register(identifier, await engine.listen(), {});
  }
  deployment.configure(
    [{ name: 'stream', prefix: '/stream/', kind: 'streaming', service: 'engines' }],
    [{ name: 'engines' }],
  );
  const instances = await deployment.startMachines();
  const killer = new Killer();
  const endsAt = performance.now() + TRAFFIC_MILLISECONDS;
  const callers = Array.from({ length: CALLERS }, async (_item, caller) => {
    const results = [];
    while (performance.now() < endsAt) {
      const number = caller + results.length;
      const instance = instances[number % instances.length];
      const identifier = `review-1-${caller}-${results.length}`;
      results.push(await call(deployment, killer, instance, identifier));
      // A refused connection ends at once.
      await sleep(results.at(-1).isServed ? 0 : 100);
    }
    return results;
  });
  const results = (await Promise.all(callers)).flat();
  if (!killer.hasKilled) {
    throw new Error('no response without a length was seen');
  }
  return results;
}

const deployment = await Deployment.create(new URL('record.txt', import.meta.url));
const engines = [];
let exitCode = 2;
try {
  const results = await run(deployment, engines);
  const broken = results.filter(({ isBroken }) => isBroken).length;
  const served = results.filter(({ isServed }) => isServed).length;
  deployment.record('result', { requests: results.length, served, broken });
  if (broken > 0) {
    exitCode = 1;
  } else if (hasTrouble || served === results.length) {
    exitCode = 0;
  }
} catch (error) {
  deployment.record('error', { reason: String(error) });
} finally {
  engines.forEach((engine) => engine.close());
  await deployment.close();
}
process.exitCode = exitCode;
