/** What goes wrong with a write-ahead log, in a form that programs can tell apart. */
import { CodedError, errorMessage } from '@reedyard/logging';

/**
 * An error of the log. Its `code` is one of
 * - `damaged`: something that was synced is missing or unreadable; only an operator can decide,
 * - `full`: the disk has no room,
 * - `disk`: the disk refused in another way.
 *
 * After `full` and `disk` the log can be recovered once the disk takes writes again.
 */
export class WriteAheadLogError extends CodedError {}

const outOfSpaceCodes: ReadonlySet<string> = new Set(['ENOSPC', 'EDQUOT']);

/** Turns anything that a file system throws into an error of the log. */
export const toLogError = (thrown: unknown, folder: string): WriteAheadLogError => {
  if (thrown instanceof WriteAheadLogError) return thrown;
  const systemCode = (thrown as NodeJS.ErrnoException).code ?? '';
  const code = outOfSpaceCodes.has(systemCode) ? 'full' : 'disk';
  return new WriteAheadLogError(code, `${folder}: ${errorMessage(thrown)}`, { cause: thrown });
};
