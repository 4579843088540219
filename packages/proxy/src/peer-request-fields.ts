/**
 * The header fields that a node adds to a request that it forwards to a peer, and what the peer reads
 * from them. They state what the forwarding node's decision rests on, so that the peer can refuse
 * what it can't serve on the same basis. A node of the last version sends and reads fewer of them.
 */
import type { ClientRequest, ProxyEffect } from './state.js';

/** Names of the fields of a forwarded request. */
const fieldNames = {
  attempt: 'reedyard-attempt',
  forwardedBy: 'reedyard-via',
  attemptsLeft: 'reedyard-attempts-left',
  service: 'reedyard-service',
  lease: 'reedyard-lease',
} as const;

/** The value of the lease field if the forwarding node has a lease. */
const leaseRequired = 'required';

/** The fields of a request that is forwarded by the node of this name. */
export const peerRequestFields = (
  effect: Extract<ProxyEffect, { kind: 'send-attempt' }>,
  node: string,
): Readonly<Record<string, string>> => ({
  [fieldNames.attempt]: effect.attemptId,
  [fieldNames.forwardedBy]: node,
  [fieldNames.service]: effect.service,
  ...(effect.requiresLease ? { [fieldNames.lease]: leaseRequired } : {}),
  ...(Number.isFinite(effect.delegatedAttempts)
    ? { [fieldNames.attemptsLeft]: String(effect.delegatedAttempts) }
    : {}),
});

/** The number in a field of up to four digits; null for any other value. */
const attemptCountOf = (field: string | readonly string[] | undefined): number | null =>
  typeof field === 'string' && /^\d{1,4}$/.test(field) ? Number(field) : null;

/** The parts of a forwarded request that these fields state. */
export const readPeerRequestFields = (
  headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): Pick<ClientRequest, 'via' | 'attempts' | 'service' | 'requiresLease'> => {
  const service = headers[fieldNames.service];
  return {
    via: String(headers[fieldNames.forwardedBy] ?? 'unnamed'),
    attempts: attemptCountOf(headers[fieldNames.attemptsLeft]),
    service: typeof service === 'string' ? service : null,
    requiresLease: headers[fieldNames.lease] === leaseRequired,
  };
};
