/** Logs key=value lines, and defines errors with codes. */

import { Logger as TransportLogger } from 'tslog';

/** The fields of a log line; undefined and null values are left out. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined | null>>;

const quoteValue = (value: string | number | boolean): string => {
  const text = String(value);
  return /^[\w.:/@+,%-]+$/.test(text) ? text : JSON.stringify(text);
};

/**
 * Formats an event as one line of key=value pairs.
 *
 * @example
 * formatLogLine('policy.applied', { revision: 7, by: 'agent' }) // 'event=policy.applied revision=7 by=agent'
 */
export const formatLogLine = (event: string, fields: LogFields): string =>
  [
    `event=${quoteValue(event)}`,
    ...Object.entries(fields).flatMap(([key, value]) =>
      value === undefined || value === null ? [] : [`${key}=${quoteValue(value)}`],
    ),
  ].join(' ');

const ignoreError = (): void => undefined;

/**
 * Ignores errors of standard error, so that the process goes on when its log can't be written: the
 * reader of a pipe has gone, or a disk is full. The lines are lost.
 */
const ignoreOutputErrors = (): void => {
  if (!process.stderr.listeners('error').includes(ignoreError))
    process.stderr.on('error', ignoreError);
};

/** Writes log lines with the common fields of one process. */
export type Logger = {
  readonly info: (event: string, fields?: LogFields) => void;
  readonly warn: (event: string, fields?: LogFields) => void;
  readonly error: (event: string, fields?: LogFields) => void;
};

/**
 * Opens a logger that writes to standard error. Lines that can't be written are lost.
 *
 * @example
 * const logger = openLogger({ program: 'agent', node: 'front-1' });
 * logger.info('started', { port: 7001 }); // time=… level=INFO program=agent node=front-1 event=started port=7001
 */
export const openLogger = (commonFields: LogFields): Logger => {
  ignoreOutputErrors();
  const logger = new TransportLogger({
    type: 'hidden',
    // The lines don't state their code position; determining it costs a stack trace per line.
    hideLogPositionForProduction: true,
    attachedTransports: [
      (entry) => {
        const meta = entry['_meta'] as { date: Date; logLevelName: string };
        process.stderr.write(
          `time=${meta.date.toISOString()} level=${meta.logLevelName} ${entry['0'] as unknown as string}\n`,
        );
      },
    ],
  });
  const prefix = Object.entries(commonFields)
    .map(([key, value]) => `${key}=${quoteValue(value ?? '')}`)
    .join(' ');
  const write =
    (level: 'info' | 'warn' | 'error') =>
    (event: string, fields: LogFields = {}): void => {
      logger[level](`${prefix} ${formatLogLine(event, fields)}`);
    };
  return { info: write('info'), warn: write('warn'), error: write('error') };
};

/**
 * Base class of the project's errors: a code for programs, a message for people, and the underlying
 * cause.
 */
export class CodedError extends Error {
  constructor(
    readonly code: string,
    message: string,
    options?: { readonly cause?: unknown },
  ) {
    super(message, options);
    this.name = new.target.name;
  }
}

/**
 * Returns the message of a thrown value.
 *
 * @example
 * errorMessage(new Error('no')) // 'no'
 */
export const errorMessage = (thrown: unknown): string =>
  thrown instanceof Error ? thrown.message : String(thrown);
