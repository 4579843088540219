/** Replies to operators and origins that several modules share. */

/** The Retry-After value in seconds where no better estimate is known. */
export const retryAfterSeconds = 1;

/** The reply to an action of an operator or an origin. */
export type ActionReply = {
  readonly status: number;
  readonly body: unknown;
  readonly retryAfter?: number;
};

const problem = (status: number, title: string, detail: string): ActionReply => ({
  status,
  body: { type: 'about:blank', title, status, detail },
});

/**
 * A final refusal: the client should not repeat the request.
 *
 * @example
 * refusal(412, 'Stale revision', 'Revision 7 is in force.').status // 412
 */
export const refusal = (status: number, title: string, detail: string): ActionReply =>
  problem(status, title, detail);

/** A reply without a final result: the client should repeat the request. */
export const unavailable = (title: string, detail: string): ActionReply => ({
  ...problem(503, title, detail),
  retryAfter: retryAfterSeconds,
});

/** The reply when no majority of replicas replied in time. */
export const unreached = (operation: string): ActionReply =>
  unavailable(
    'No majority reached',
    `${operation} was not acknowledged; it may still take effect. Repeat it with the same change id.`,
  );

/** The reply while fewer disks vote than are needed to tolerate the configured losses. */
export const tooFewMembers: ActionReply = unavailable(
  'Too few members',
  'Too few machines with a disk vote yet; nothing was changed. Repeat the request.',
);
