/** The origins that are known from gossip, and which of them get traffic. */

import { liveRecords, recordValue } from '@reedyard/gossip';
import type { OriginDescription } from '@reedyard/schemas';
import { policyOf, zonesOf, zonesWithClosedOrigins } from '../control/registers.js';
import type { AgentState } from '../state.js';

/**
 * After a zone is restored, its origins count as cold until a description arrives at least this much
 * later, in milliseconds: an earlier one may have been in flight for a few gossip exchanges, since
 * before the restore.
 */
export const restoreSettleMs = 500;

/** Why an origin gets no traffic; null if it gets traffic. */
export const exclusionReason = (
  state: AgentState,
  description: OriginDescription,
): string | null => {
  const service = policyOf(state)?.document.services[description.service];
  if (service === undefined) return 'no policy allows this service';
  if (service.instances !== undefined && !service.instances.includes(description.instance))
    return 'the policy does not name this instance';
  if (state.entryKeys[withdrawalKey(description.instance)] !== undefined) return 'withdrawn';
  if (description.draining || state.entryKeys[drainKey(description)] !== undefined)
    return 'draining';
  if (zonesWithClosedOrigins(state).includes(description.zone))
    return zonesOf(state)?.emptied.includes(description.zone) === true
      ? 'its zone is emptied'
      : 'the origins of its zone get nothing';
  return null;
};

/** The key of the journal entry that an incarnation of an origin is draining. */
export const drainKey = (description: OriginDescription): string =>
  `drain/${description.service}/${description.instance}/${description.incarnation}`;

/** The key of the journal entry that excludes every incarnation of an instance while the entry is kept. */
export const withdrawalKey = (instance: string): string => `withdrawn/${instance}`;

/**
 * Whether a description received at a given time may originate from before its zone was restored; its
 * `warm` state is not trusted then.
 */
export const mayPredateZoneRestore = (
  state: AgentState,
  zone: string,
  receivedAt: number,
): boolean => receivedAt < (state.zonesRestoredAt[zone] ?? -Infinity) + restoreSettleMs;

const isOlder = (description: OriginDescription, known: OriginDescription): boolean =>
  description.incarnation < known.incarnation ||
  (description.incarnation === known.incarnation &&
    description.sequence !== undefined &&
    known.sequence !== undefined &&
    description.sequence < known.sequence);

/** Whether a description is older than the known description of the same origin. */
export const isOutdated = (state: AgentState, description: OriginDescription): boolean => {
  const known = recordValue(state.gossip, originKey(description)) as
    OriginDescription | null | undefined;
  return known !== undefined && known !== null && isOlder(description, known);
};

/** The key of an origin's record in gossip. */
export const originKey = (description: OriginDescription): string =>
  `origin/${description.service}/${description.instance}`;

/**
 * All known origins, with the reason why an origin gets no traffic. Of two origins with the same
 * address only the one received later may get traffic.
 */
export const originsOf = (
  state: AgentState,
): readonly {
  readonly description: OriginDescription;
  readonly receivedAt: number;
  readonly exclusionReason: string | null;
}[] => {
  const origins = liveRecords(state.gossip, 'origin/').map(([, value, seenAt]) => ({
    description: value as OriginDescription,
    seenAt,
  }));
  return origins.map(({ description, seenAt }) => ({
    description,
    receivedAt: seenAt,
    exclusionReason: origins.some(
      (other) =>
        other.description.address === description.address &&
        other.seenAt > seenAt &&
        (other.description.service !== description.service ||
          other.description.instance !== description.instance),
    )
      ? 'another origin has taken its address'
      : exclusionReason(state, description),
  }));
};
