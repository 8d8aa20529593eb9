import { beforeEach, describe, expect, it } from 'vitest';
import { FailureKind } from 'hickoryrelay/Failure';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { RelayError } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import type { Failure } from 'hickoryrelay/Failure';
import type { TaskContext } from 'hickoryrelay/Task';

class RecordingTask extends Task {
  override readonly name = 'recording';

  readonly events: string[] = [];

  protected override async *steps({
    clock,
    signal,
  }: TaskContext): AsyncGenerator<void, void, void> {
    try {
      for (;;) {
        this.events.push(`step at ${clock.monotonicMilliseconds()}`);
        yield;
        await clock.sleep(10, signal);
      }
    } finally {
      this.events.push('cleaned up');
    }
  }
}

class FailingTask extends Task {
  override readonly name = 'failing';

  protected override async *steps(): AsyncGenerator<void, void, void> {
    yield;
    throw new RelayError({ kind: FailureKind.ShuttingDown });
  }
}

/** Returns a clean-up that records its name. */
function mark(order: string[], name: string): () => void {
  return () => {
    order.push(name);
  };
}

describe('LifecycleManager', () => {
  let clock: ManualClock;
  let observed: [string, Failure][];
  let lifecycle: LifecycleManager;

  beforeEach(() => {
    clock = new ManualClock();
    observed = [];
    lifecycle = new LifecycleManager('test', clock, (owner, failure) => {
      observed.push([owner, failure]);
    });
  });

  it('runs clean-ups in reverse order, and once', async () => {
    const order: string[] = [];
    lifecycle.own('first', mark(order, 'first'));
    const early = lifecycle.own('second', mark(order, 'second'));
    lifecycle.own('third', mark(order, 'third'));
    await early();
    await Promise.all([lifecycle.stop(), lifecycle.stop()]);
    expect(order).toEqual(['second', 'third', 'first']);
  });

  it('ends a task that sleeps and runs its clean-up without a failure', async () => {
    const task = new RecordingTask();
    lifecycle.start(task);
    await clock.advance(25);
    await lifecycle.stop();
    expect(task.events).toEqual(['step at 0', 'step at 10', 'step at 20', 'cleaned up']);
    expect(observed).toEqual([]);
  });

  it('observes the failure of a task', async () => {
    const running = lifecycle.start(new FailingTask());
    expect((await running.ended)?.kind).toBe(FailureKind.ShuttingDown);
    expect(observed).toEqual([['failing', { kind: FailureKind.ShuttingDown }]]);
  });

  it('goes on after a clean-up that fails', async () => {
    let ran = false;
    lifecycle.own('first', () => {
      ran = true;
    });
    lifecycle.own('second', () => {
      throw new RelayError({ kind: FailureKind.ShuttingDown });
    });
    await lifecycle.stop();
    expect(ran).toBe(true);
    expect(observed.map(([owner]) => owner)).toEqual(['second']);
  });

  it('stops children with their parent, and not the other way round', async () => {
    const order: string[] = [];
    const child = lifecycle.child('child');
    child.own('inner', mark(order, 'inner'));
    const other = lifecycle.child('other');
    other.own('other', mark(order, 'other'));
    await other.stop();
    expect(lifecycle.isStopping).toBe(false);
    await lifecycle.stop();
    expect(order).toEqual(['other', 'inner']);
  });
});
