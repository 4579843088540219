/** The error class of the write-ahead log, with codes that programs can distinguish. */
import { CodedError, errorMessage } from '@reedyard/logging';

/**
 * An error of the log. Its `code` is one of
 * - `damaged`: synced data is missing or unreadable; an operator must decide how to repair the log,
 * - `full`: the disk has no free space,
 * - `disk`: a disk operation failed for another reason.
 *
 * After `full` and `disk` the log can be recovered once the disk accepts writes again.
 */
export class WriteAheadLogError extends CodedError {}

const outOfSpaceCodes: ReadonlySet<string> = new Set(['ENOSPC', 'EDQUOT']);

/** Converts an error that a file system throws to an error of the log. */
export const toLogError = (thrown: unknown, folder: string): WriteAheadLogError => {
  if (thrown instanceof WriteAheadLogError) return thrown;
  const systemCode = (thrown as NodeJS.ErrnoException).code ?? '';
  const code = outOfSpaceCodes.has(systemCode) ? 'full' : 'disk';
  return new WriteAheadLogError(code, `${folder}: ${errorMessage(thrown)}`, { cause: thrown });
};
