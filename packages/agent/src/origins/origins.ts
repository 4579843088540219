/** The origins that gossip tells of, and which of them get traffic. */

import { liveRecords, recordValue } from '@reedyard/gossip';
import type { OriginDescription } from '@reedyard/schemas';
import { policyOf, zonesOf, zonesWithClosedOrigins } from '../control/registers.js';
import type { AgentState } from '../state.js';

/**
 * ms. After a zone was taken back its origins count as cold until a description is heard this
 * much later: an earlier one may have been under way for a few exchanges of gossip.
 */
export const restoreSettleMs = 500;

/** Why an origin gets no traffic, or null if it does. */
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

/** The journal's key of a notice that an incarnation of an origin drains. */
export const drainKey = (description: OriginDescription): string =>
  `drain/${description.service}/${description.instance}/${description.incarnation}`;

/** Bars every incarnation of an instance of this name, for as long as the journal entry lasts. */
export const withdrawalKey = (instance: string): string => `withdrawn/${instance}`;

/**
 * Whether what an origin of a zone said at some time is too old to be trusted as warm: its zone was
 * taken back since.
 */
export const mayPredateZoneRestore = (state: AgentState, zone: string, heardAt: number): boolean =>
  heardAt < (state.zonesRestoredAt[zone] ?? -Infinity) + restoreSettleMs;

const isOlder = (told: OriginDescription, known: OriginDescription): boolean =>
  told.incarnation < known.incarnation ||
  (told.incarnation === known.incarnation &&
    told.sequence !== undefined &&
    known.sequence !== undefined &&
    told.sequence < known.sequence);

/** Whether a description is older than the one known of the same origin. */
export const isOutdated = (state: AgentState, description: OriginDescription): boolean => {
  const known = recordValue(state.gossip, originKey(description)) as
    OriginDescription | null | undefined;
  return known !== undefined && known !== null && isOlder(description, known);
};

/** The key of an origin's record in gossip. */
export const originKey = (description: OriginDescription): string =>
  `origin/${description.service}/${description.instance}`;

/** Every origin heard of. Of two at one address only the one heard later counts. */
export const originsOf = (
  state: AgentState,
): readonly {
  readonly description: OriginDescription;
  readonly heardAt: number;
  readonly exclusionReason: string | null;
}[] => {
  const all = liveRecords(state.gossip, 'origin/').map(([, value, seenAt]) => ({
    description: value as OriginDescription,
    seenAt,
  }));
  return all.map(({ description, seenAt }) => ({
    description,
    heardAt: seenAt,
    exclusionReason: all.some(
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
