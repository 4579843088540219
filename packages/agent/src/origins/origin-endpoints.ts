/** The origins as this node's proxy uses them, each with the rate that this node may send to it. */

import { rateLimitOf, rateOf } from '@reedyard/quota-division';
import { hashOf } from '@reedyard/server-selection';
import { policyOf, quotaAllocationOf } from '../control/registers.js';
import { nodesOf } from '../gossip/known-nodes.js';
import type { OriginEndpoint } from '../messages.js';
import type { AgentState } from '../state.js';
import { mayPredateZoneRestore, originsOf } from './origins.js';

/**
 * requests a second to a cold instance that are worth a node's part: fewer nodes get more each,
 * so that what they may have saved, a request each, stays small beside it.
 */
export const minSlowStartRatePerNode = 3;

/**
 * share of a cold instance's bearable rate that the nodes it is given to may use together: what
 * each of them saved comes on top.
 */
export const slowStartShare = 0.8;

/**
 * Requests a second that this node may send to a cold instance. Only a few nodes may, those that
 * rendezvous hashing names for it: every node for itself comes to the same ones, as far as it knows
 * the same nodes.
 */
const slowStartRate = (state: AgentState, instance: string, rate: number): number => {
  const plan = quotaAllocationOf(state);
  // A node that has only just come knows few others: the allocation names them all.
  if (plan === null) return 0;
  const names = [
    ...new Set([
      ...plan.seated,
      ...nodesOf(state).flatMap(({ record }) => (record.proxy === null ? [] : [record.id])),
    ]),
  ];
  const parts = Math.max(1, Math.min(names.length, Math.floor(rate / minSlowStartRatePerNode)));
  const own = hashOf(`${instance} ${state.self.id}`);
  const ahead = names.filter(
    (name) => name !== state.self.id && hashOf(`${instance} ${name}`) > own,
  ).length;
  return ahead < parts ? (rate * slowStartShare) / parts : 0;
};

/** Instances that take work, each with this node's quota of what it carries. */
export const originEndpoints = (state: AgentState): readonly OriginEndpoint[] => {
  const slices = quotaAllocationOf(state)?.slices ?? {};
  const services = policyOf(state)?.document.services ?? {};
  return originsOf(state).flatMap(
    ({ description, heardAt, exclusionReason: why }): readonly OriginEndpoint[] => {
      if (why !== null) return [];
      const cold =
        description.state === 'cold' || mayPredateZoneRestore(state, description.zone, heardAt);
      const mine = slices[description.service] ?? {};
      const carried = rateOf(mine, state.self.id, description.capacity ?? Infinity);
      const service = services[description.service];
      const bearable =
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
          rate: cold ? Math.min(carried, bearable) : carried,
        },
      ];
    },
  );
};

/**
 * What each service of the policy may get in all: its ceiling, or less where its instances carry
 * less.
 */
export const serviceRateLimits = (state: AgentState): Readonly<Record<string, number>> => {
  const admitted = originsOf(state)
    .filter((each) => each.exclusionReason === null)
    .map((each) => each.description);
  return Object.fromEntries(
    Object.entries(policyOf(state)?.document.services ?? {}).map(([name, service]) => [
      name,
      rateLimitOf(
        service.ceiling,
        admitted.filter((each) => each.service === name).map((each) => each.capacity ?? Infinity),
      ),
    ]),
  );
};
