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

/** Creates a clean-up that records its name. */
function createRecordingCleanUp(order: string[], name: string): () => void {
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

  // Guards against a resource that is released twice, or before those that depend on it.
  it('runs each clean-up once, in reverse order', async () => {
    const order: string[] = [];
    lifecycle.own('first', createRecordingCleanUp(order, 'first'));
    const runSecond = lifecycle.own('second', createRecordingCleanUp(order, 'second'));
    lifecycle.own('third', createRecordingCleanUp(order, 'third'));
    await runSecond();
    await Promise.all([lifecycle.stop(), lifecycle.stop()]);
    expect(order).toEqual(['second', 'third', 'first']);
  });

  // Guards against a stop that waits for a sleeping task or is reported as its failure.
  it('ends a sleeping task and runs its clean-up without a failure', async () => {
    const task = new RecordingTask();
    lifecycle.start(task);
    await clock.advance(25);
    await lifecycle.stop();
    expect(task.events).toEqual(['step at 0', 'step at 10', 'step at 20', 'cleaned up']);
    expect(observed).toEqual([]);
  });

  // Guards against a task that fails unnoticed.
  it('reports the failure of a task', async () => {
    const running = lifecycle.start(new FailingTask());
    expect((await running.ended)?.kind).toBe(FailureKind.ShuttingDown);
    expect(observed).toEqual([['failing', { kind: FailureKind.ShuttingDown }]]);
  });

  // Guards against resources that leak because the clean-up of another one failed.
  it('continues after a clean-up that fails', async () => {
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

  // Guards against children that outlive their parent or stop it.
  it('stops children with their parent, but not the parent with a child', async () => {
    const order: string[] = [];
    const child = lifecycle.child('child');
    child.own('inner', createRecordingCleanUp(order, 'inner'));
    const other = lifecycle.child('other');
    other.own('other', createRecordingCleanUp(order, 'other'));
    await other.stop();
    expect(lifecycle.isStopping).toBe(false);
    await lifecycle.stop();
    expect(order).toEqual(['other', 'inner']);
  });
});
