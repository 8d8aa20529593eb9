import { createLogger, format, transports } from 'winston';

import { BoundedLogOutput } from './BoundedLogOutput.js';

import type { Logger as WinstonLogger } from 'winston';

/** The fixed prefixes of log lines, one for each part. */
export const LogPrefix = {
  Daemon: '[daemon]',
  Configuration: '[configuration]',
  Caller: '[caller]',
  Admission: '[admission]',
  Routing: '[routing]',
  Endpoint: '[endpoint]',
  Peer: '[peer]',
  Membership: '[membership]',
  Authority: '[authority]',
  Orders: '[orders]',
  Supply: '[supply]',
  Usage: '[usage]',
  Claims: '[claims]',
  View: '[view]',
  Forwarding: '[forwarding]',
  Platform: '[platform]',
} as const;

export type LogPrefix = (typeof LogPrefix)[keyof typeof LogPrefix];

/** Fields of a log line. Never put an access key, a prompt or an answer in them. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes structured log lines of one part. */
export interface PartLogger {
  debug(sentence: string, fields?: LogFields): void;
  info(sentence: string, fields?: LogFields): void;
  warn(sentence: string, fields?: LogFields): void;
  error(sentence: string, fields?: LogFields): void;
}

/** Makes the JSON logger of a process. Lines go to standard error. */
export function createProcessLogger(level: string, instance: string): WinstonLogger {
  return createLogger({
    level,
    defaultMeta: { instance },
    format: format.combine(format.timestamp(), format.json()),
    transports: [
      new transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug', 'silly'] }),
    ],
  });
}

/** Makes the JSON logger of a process that writes to standard output and never waits for it. */
export function createStandardOutputLogger(level: string, instance: string): WinstonLogger {
  return createLogger({
    level,
    defaultMeta: { instance },
    format: format.combine(format.timestamp(), format.json()),
    transports: [new transports.Stream({ stream: new BoundedLogOutput(), eol: '\n' })],
  });
}

/** Returns the logger of one part, which puts the part's prefix before each sentence. */
export function partLogger(logger: WinstonLogger, prefix: LogPrefix): PartLogger {
  const write = (level: string) => (sentence: string, fields?: LogFields) => {
    logger.log(level, `${prefix} ${sentence}`, fields);
  };
  return {
    debug: write('debug'),
    info: write('info'),
    warn: write('warn'),
    error: write('error'),
  };
}

/** A logger that drops every line. For tests. */
export const silentLogger: PartLogger = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
};
