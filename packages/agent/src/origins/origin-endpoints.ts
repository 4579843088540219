/** The origins in the form that this node's proxy uses, each with the rate that this node may send to it. */

import { rateLimitOf, rateOf } from '@reedyard/quota-division';
import { hashOf } from '@reedyard/server-selection';
import { policyOf, quotaAllocationOf } from '../control/registers.js';
import { nodesOf } from '../gossip/known-nodes.js';
import type { OriginEndpoint } from '../messages.js';
import type { AgentState } from '../state.js';
import { mayPredateZoneRestore, originsOf } from './origins.js';

/**
 * The minimum rate, in requests per second, that a node gets to an instance that is warming up. Fewer
 * nodes with a higher rate each keep the tokens that they may have saved, one per node, small
 * compared with the rate.
 */
export const minSlowStartRatePerNode = 3;

/**
 * The share of a warming-up instance's maximum rate that the nodes assigned to it may use together;
 * the tokens that each of them saved are added to it.
 */
export const slowStartShare = 0.8;

/**
 * The rate, in requests per second, that this node may send to an instance that is warming up. Only a
 * few nodes may send to it. Rendezvous hashing selects them, so that nodes that know the same nodes
 * select the same ones independently.
 */
const slowStartRate = (state: AgentState, instance: string, rate: number): number => {
  const allocation = quotaAllocationOf(state);
  // A node that just started knows few other nodes from gossip; the allocation names all of them.
  if (allocation === null) return 0;
  const nodeIds = [
    ...new Set([
      ...allocation.seated,
      ...nodesOf(state).flatMap(({ record }) => (record.proxy === null ? [] : [record.id])),
    ]),
  ];
  const selectedCount = Math.max(
    1,
    Math.min(nodeIds.length, Math.floor(rate / minSlowStartRatePerNode)),
  );
  const ownHash = hashOf(`${instance} ${state.self.id}`);
  const rank = nodeIds.filter(
    (nodeId) => nodeId !== state.self.id && hashOf(`${instance} ${nodeId}`) > ownHash,
  ).length;
  return rank < selectedCount ? (rate * slowStartShare) / selectedCount : 0;
};

/** The instances that get traffic, each with this node's quota of its capacity. */
export const originEndpoints = (state: AgentState): readonly OriginEndpoint[] => {
  const sharesByService = quotaAllocationOf(state)?.slices ?? {};
  const services = policyOf(state)?.document.services ?? {};
  return originsOf(state).flatMap(
    ({ description, receivedAt, exclusionReason: reason }): readonly OriginEndpoint[] => {
      if (reason !== null) return [];
      const cold =
        description.state === 'cold' || mayPredateZoneRestore(state, description.zone, receivedAt);
      const shares = sharesByService[description.service] ?? {};
      const capacityRate = rateOf(shares, state.self.id, description.capacity ?? Infinity);
      const service = services[description.service];
      const warmUpRate =
        service?.coldRate === undefined
          ? Infinity
          : slowStartRate(
              state,
              `${description.instance}/${description.incarnation}`,
              service.coldRate,
            );
      return [
        {
          service: description.service,
          instance: description.instance,
          incarnation: description.incarnation,
          address: description.address,
          zone: description.zone,
          region: description.region,
          capacity: description.capacity ?? description.slots ?? 1,
          slots: description.slots ?? null,
          conns: service?.instanceConns ?? null,
          cold,
          rate: cold ? Math.min(capacityRate, warmUpRate) : capacityRate,
        },
      ];
    },
  );
};

/**
 * The rate limit of each service of the policy: the configured rate limit, or the total capacity of
 * its admitted instances where that is lower.
 */
export const serviceRateLimits = (state: AgentState): Readonly<Record<string, number>> => {
  const admitted = originsOf(state)
    .filter((origin) => origin.exclusionReason === null)
    .map((origin) => origin.description);
  return Object.fromEntries(
    Object.entries(policyOf(state)?.document.services ?? {}).map(([name, service]) => [
      name,
      rateLimitOf(
        service.ceiling,
        admitted
          .filter((description) => description.service === name)
          .map((description) => description.capacity ?? Infinity),
      ),
    ]),
  );
};
