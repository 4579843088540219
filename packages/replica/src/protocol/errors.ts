/** Errors of the replica's protocol. */
import { CodedError } from '@reedyard/logging';

/**
 * Thrown for a message or record of a kind that this version does not know. Its `code` is
 * `unknown-message` or `unknown-record`.
 */
export class ReplicaProtocolError extends CodedError {}
