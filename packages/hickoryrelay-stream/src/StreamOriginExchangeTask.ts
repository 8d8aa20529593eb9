import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';

import { RecordHolders } from './RecordHolders.js';
import { MAXIMUM_ROWS, STREAM_ORIGIN_KIND, StreamOriginContent } from './StreamOriginMessage.js';

import type { OriginAddress, OriginChannel, OriginPeer } from './OriginChannel.js';
import type { OriginRecord } from './OriginLedger.js';
import type { OriginQuestion } from './OriginQuestion.js';
import type { QuestionsMessage, StreamOriginMessage } from './StreamOriginMessage.js';
import type { StreamOrigins } from './StreamOrigins.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { TaskContext } from 'hickoryrelay/Task';

/** Time for which records and questions are collected before they are sent. */
const COLLECTION_MILLISECONDS = 5;

/** Limit on datagrams with records while all peers hold each record. */
const MAXIMUM_DIRECT_DATAGRAMS_PER_SECOND = 80;

/** Limit on datagrams with records while each record has a few holders. */
const MAXIMUM_HOLDER_DATAGRAMS_PER_SECOND = 400;

/** Datagrams with records that are sent at once. */
const DATAGRAMS_PER_ROUND = 40;

/** Records for which holders are selected at once, which takes a few milliseconds with many peers. */
const RECORDS_PER_STEP = 256;

/** Items that wait for one instance, far more than a burst of streams leaves. */
const MAXIMUM_BATCH_ITEMS = 8192;

const MILLISECONDS_PER_SECOND = 1000;

/** Collaborators of the task. */
export interface StreamOriginExchangeParts {
  readonly channel: OriginChannel;
  readonly origins: StreamOrigins;
}

/** Items for one instance, in the order in which they are sent. */
interface Batch<Item> {
  readonly peer: OriginPeer;
  readonly items: Item[];
}

/** Drops the oldest item of a batch that is full. */
function addToBatch<Item>(batches: Map<string, Batch<Item>>, peer: OriginPeer, item: Item): void {
  const batch = batches.get(peer.instance);
  if (batch === undefined) {
    batches.set(peer.instance, { peer, items: [item] });
  } else {
    batch.items.push(item);
    if (batch.items.length > MAXIMUM_BATCH_ITEMS) {
      batch.items.shift();
    }
  }
}

function* slicesOf<Item>(items: readonly Item[]): Generator<readonly Item[], void, void> {
  for (let first = 0; first < items.length; first += MAXIMUM_ROWS) {
    yield items.slice(first, first + MAXIMUM_ROWS);
  }
}

/**
 * Exchanges the versions that began streams with the other instances: sends the records that
 * `StreamOrigins` queues, asks its questions and answers those of others. Waits while there is nothing
 * to send.
 */
export class StreamOriginExchangeTask extends Task {
  override readonly name = 'stream origins';

  private readonly parts: StreamOriginExchangeParts;

  /** Records for which no holders have been selected. */
  private unassigned: OriginRecord[] = [];

  /** Records to send, by the name of the instance. */
  private readonly batches = new Map<string, Batch<OriginRecord>>();

  /** Time before which no more records are sent. */
  private recordsDueMilliseconds = 0;

  private hasWork = false;

  private wake: () => void = () => {};

  constructor(parts: StreamOriginExchangeParts) {
    super();
    this.parts = parts;
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    const { channel, origins } = this.parts;
    const unsubscribeChannel = channel.subscribe((message) => this.receive(message));
    const unsubscribeOrigins = origins.subscribe(() => {
      this.hasWork = true;
      this.wake();
    });
    try {
      for (;;) {
        await this.waitForWork(clock, signal);
        await clock.sleep(COLLECTION_MILLISECONDS, signal);
        this.hasWork = false;
        this.askQuestions();
        this.sendRecords(clock.monotonicMilliseconds());
        yield;
      }
    } finally {
      unsubscribeChannel();
      unsubscribeOrigins();
    }
  }

  /** Waits until something is queued, or until more records may be sent. */
  private waitForWork(clock: Clock, signal: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (this.hasWork || signal.aborted) {
        resolve();
        return;
      }
      const hasRecords = this.batches.size > 0 || this.unassigned.length > 0;
      const cancelTimer = hasRecords
        ? clock.schedule(this.recordsDueMilliseconds - clock.monotonicMilliseconds(), () =>
            this.wake(),
          )
        : () => {};
      const onAbort = () => {
        cancelTimer();
        reject(new RelayError({ kind: FailureKind.Cancelled, reason: 'the wait was aborted' }));
      };
      signal.addEventListener('abort', onAbort, { once: true });
      this.wake = () => {
        cancelTimer();
        signal.removeEventListener('abort', onAbort);
        resolve();
      };
    });
  }

  private get holders(): RecordHolders {
    const { self, peers } = this.parts.channel;
    return new RecordHolders(self.zone, peers);
  }

  private askQuestions(): void {
    const questions = this.parts.origins.takeQuestions();
    new Set(questions.map(({ routes }) => routes)).forEach((routes) => {
      this.askAbout(
        questions.filter((question) => question.routes === routes),
        routes,
      );
    });
  }

  private askAbout(questions: readonly OriginQuestion[], routes: number | undefined): void {
    const { holders } = this;
    const batches = new Map<string, Batch<QuestionsMessage['streams'][number]>>();
    questions.forEach((question) => {
      const { key, service } = question;
      const asked = holders.of(key);
      question.expect(
        asked.map(({ instance }) => instance),
        holders.isDirect,
      );
      asked
        .filter(({ instance }) => !question.hasAnswerOf(instance))
        .forEach((peer) => addToBatch(batches, peer, { key, service }));
    });
    batches.forEach(({ peer, items }) => this.sendQuestions(peer, items, routes));
  }

  private sendQuestions(
    peer: OriginPeer,
    items: QuestionsMessage['streams'],
    routes: number | undefined,
  ): void {
    const { channel } = this.parts;
    const { host, port } = channel.self;
    for (const streams of slicesOf(items)) {
      channel.send([peer], {
        kind: STREAM_ORIGIN_KIND,
        content: StreamOriginContent.Questions,
        replyTo: { host, port },
        routes,
        streams,
      });
    }
  }

  private sendRecords(now: number): void {
    this.unassigned.push(...this.parts.origins.takeRecords());
    if (now < this.recordsDueMilliseconds) {
      return;
    }
    const { holders } = this;
    this.unassigned.splice(-RECORDS_PER_STEP).forEach((record) => {
      holders.of(record.key).forEach((peer) => addToBatch(this.batches, peer, record));
    });
    const due = [...this.batches.values()].slice(0, DATAGRAMS_PER_ROUND);
    due.forEach(({ peer, items }) => {
      // The newest first: the clients of older streams are less likely to come back.
      this.sendBatch(peer, items.splice(-MAXIMUM_ROWS));
      if (items.length === 0) {
        this.batches.delete(peer.instance);
      }
    });
    const datagramsPerSecond = holders.isDirect
      ? MAXIMUM_DIRECT_DATAGRAMS_PER_SECOND
      : MAXIMUM_HOLDER_DATAGRAMS_PER_SECOND;
    this.recordsDueMilliseconds = now + (due.length / datagramsPerSecond) * MILLISECONDS_PER_SECOND;
  }

  private sendBatch(address: OriginAddress, records: readonly OriginRecord[]): void {
    this.parts.channel.send([address], {
      kind: STREAM_ORIGIN_KIND,
      content: StreamOriginContent.Records,
      records,
    });
  }

  private receive(message: StreamOriginMessage): void {
    const { origins } = this.parts;
    switch (message.content) {
      case StreamOriginContent.Records:
        message.records.forEach((record) => origins.receiveRecord(record));
        break;
      case StreamOriginContent.Questions:
        this.answer(message);
        break;
      default:
        message.streams.forEach(({ key, answer }) =>
          origins.receiveAnswer(message.sender, key, answer),
        );
    }
  }

  private answer({ replyTo, routes, streams }: QuestionsMessage): void {
    const { channel, origins } = this.parts;
    channel.send([replyTo], {
      kind: STREAM_ORIGIN_KIND,
      content: StreamOriginContent.Answers,
      sender: channel.self.instance,
      streams: streams.map(({ key, service }) => ({
        key,
        answer: origins.answer(key, service, routes),
      })),
    });
  }
}
