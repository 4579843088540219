/** Answers to operators and origins that several modules give. */

/** s. Told to callers in Retry-After when no better number is known. */
export const retryAfterSeconds = 1;

/** What an operator's or origin's call is answered. */
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
 * A refusal that holds: the call is not to be repeated.
 *
 * @example
 * refusal(412, 'Stale revision', 'Revision 7 is in force.').status // 412
 */
export const refusal = (status: number, title: string, detail: string): ActionReply =>
  problem(status, title, detail);

/** No clear answer: the call is to be repeated. */
export const unavailable = (title: string, detail: string): ActionReply => ({
  ...problem(503, title, detail),
  retryAfter: retryAfterSeconds,
});

/** No majority answered in time. */
export const unreached = (what: string): ActionReply =>
  unavailable(
    'No majority reached',
    `${what} was not acknowledged; it may yet take effect. Repeat it with the same change id.`,
  );

/** Told while fewer disks vote than are needed to bear the losses that must be borne. */
export const tooFewMembers: ActionReply = unavailable(
  'Too few members',
  'Too few machines with a disk vote as yet; nothing was changed. Repeat it.',
);
