import { createLogger, format, transports } from 'winston';

import { BoundedLogOutput } from './BoundedLogOutput.js';

import type { Logger as WinstonLogger } from 'winston';

/** Prefixes of log lines, one for each component. */
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
  Crashes: '[crashes]',
} as const;

export type LogPrefix = (typeof LogPrefix)[keyof typeof LogPrefix];

/** Fields of a log line. They must not contain access keys, prompts or responses. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes structured log lines for one component. */
export interface ComponentLogger {
  debug(sentence: string, fields?: LogFields): void;
  info(sentence: string, fields?: LogFields): void;
  warn(sentence: string, fields?: LogFields): void;
  error(sentence: string, fields?: LogFields): void;
}

/** Creates the JSON logger of a process that writes to standard error. */
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

/** Creates the JSON logger of a process that writes to standard output without blocking. */
export function createStandardOutputLogger(level: string, instance: string): WinstonLogger {
  return createLogger({
    level,
    defaultMeta: { instance },
    format: format.combine(format.timestamp(), format.json()),
    transports: [new transports.Stream({ stream: new BoundedLogOutput(), eol: '\n' })],
  });
}

/** Creates the logger of one component, which puts its prefix before each message. */
export function createComponentLogger(logger: WinstonLogger, prefix: LogPrefix): ComponentLogger {
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

/** Logger that discards all lines. For tests. */
export const silentLogger: ComponentLogger = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
};
