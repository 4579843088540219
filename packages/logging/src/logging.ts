/** Logs of key=value lines, and errors with codes. */

import { Logger as TransportLogger } from 'tslog';

/** Values a log line may carry. */
export type Fields = Readonly<Record<string, string | number | boolean | undefined | null>>;

const quoteValue = (value: string | number | boolean): string => {
  const text = String(value);
  return /^[\w.:/@+,%-]+$/.test(text) ? text : JSON.stringify(text);
};

/**
 * One event as one line of key=value pairs.
 *
 * @example
 * line('policy.applied', { revision: 7, by: 'agent' }) // 'event=policy.applied revision=7 by=agent'
 */
export const formatLine = (event: string, fields: Fields): string =>
  [
    `event=${quoteValue(event)}`,
    ...Object.entries(fields).flatMap(([key, value]) =>
      value === undefined || value === null ? [] : [`${key}=${quoteValue(value)}`],
    ),
  ].join(' ');

/** A log bound to one process. */
export type Logger = {
  readonly info: (event: string, fields?: Fields) => void;
  readonly warn: (event: string, fields?: Fields) => void;
  readonly error: (event: string, fields?: Fields) => void;
};

/**
 * Opens the log of a process on standard error.
 *
 * @example
 * const scribe = openScribe({ program: 'agent', node: 'front-1' });
 * scribe.info('started', { port: 7001 }); // time=… level=INFO program=agent node=front-1 event=started port=7001
 */
export const openLogger = (fixed: Fields): Logger => {
  const logger = new TransportLogger({
    type: 'hidden',
    // Where a line was logged from is not told, and finding it out costs a stack trace each.
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
  const lead = Object.entries(fixed)
    .map(([key, value]) => `${key}=${quoteValue(value ?? '')}`)
    .join(' ');
  const write =
    (level: 'info' | 'warn' | 'error') =>
    (event: string, fields: Fields = {}): void => {
      logger[level](`${lead} ${formatLine(event, fields)}`);
    };
  return { info: write('info'), warn: write('warn'), error: write('error') };
};

/**
 * The base of every layer's errors: a code for programs, a text for people, the cause from below.
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
 * The text of anything thrown.
 *
 * @example
 * textOf(new Error('no')) // 'no'
 */
export const errorMessage = (thrown: unknown): string =>
  thrown instanceof Error ? thrown.message : String(thrown);
