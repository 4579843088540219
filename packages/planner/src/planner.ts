/** What an order would move, before it is sent. */

import type { NodeRecord } from '@reedyard/agent';
import {
  rateLimitOf,
  allocateQuotas,
  rateOf,
  type QuotaNode,
  type QuotaShares,
} from '@reedyard/quota-division';
import { Routes, type OriginDescription, type Policy, type Route } from '@reedyard/schemas';

/** What the fleet is now, as its own API tells it. */
export type Known = {
  readonly policy: Policy;
  readonly emptied: readonly string[];
  /** Zones whose origins get nothing, the emptied ones among them. */
  readonly closedOrigins?: readonly string[];
  readonly nodes: readonly NodeRecord[];
  readonly origins: readonly OriginDescription[];
  readonly slices: Readonly<Record<string, QuotaShares>>;
};

/** What is meant to change. */
export type Intent = {
  readonly policy?: Policy;
  readonly empty?: readonly string[];
  readonly takeBack?: readonly string[];
};

export type Moves = {
  readonly routes: {
    readonly added: readonly string[];
    readonly removed: readonly string[];
    readonly changed: readonly { readonly route: string; readonly fields: readonly string[] }[];
  };
  readonly services: readonly {
    readonly service: string;
    readonly change: 'added' | 'removed' | 'changed';
    readonly ceiling: readonly [before: number | null, after: number | null];
  }[];
  readonly origins: readonly {
    readonly origin: string;
    readonly before: string;
    readonly after: string;
  }[];
  readonly nodes: readonly {
    readonly node: string;
    readonly before: 'serves' | 'emptied';
    readonly after: 'serves' | 'emptied';
  }[];
  readonly shares: readonly {
    readonly service: string;
    readonly node: string;
    readonly before: number;
    readonly after: number;
  }[];
  /**
   * Attempts a second that each node's callers would ask for, and what its quotas would let
   * through.
   */
  readonly load: readonly {
    readonly node: string;
    readonly before: number;
    readonly after: number;
  }[];
  readonly warnings: readonly string[];
};

const namesOf = (routes: readonly Route[]): ReadonlyMap<string, Route> =>
  new Map(routes.map((route) => [route.name, route]));

const routeMoves = (before: Policy, after: Policy): Moves['routes'] => {
  const [old, next] = [namesOf(before.routes), namesOf(after.routes)];
  return {
    added: [...next.keys()].filter((name) => !old.has(name)),
    removed: [...old.keys()].filter((name) => !next.has(name)),
    changed: [...next].flatMap(([name, route]) => {
      const was = old.get(name);
      if (was === undefined) return [];
      const fields = [...new Set([...Object.keys(was), ...Object.keys(route)])].filter(
        (field) =>
          JSON.stringify(was[field as keyof Route]) !== JSON.stringify(route[field as keyof Route]),
      );
      return fields.length === 0 ? [] : [{ route: name, fields }];
    }),
  };
};

const standing = (
  origin: OriginDescription,
  policy: Policy,
  closed: readonly string[],
  emptied: readonly string[],
): string => {
  const service = policy.services[origin.service];
  if (service === undefined) return 'no policy allows this service';
  if (service.instances !== undefined && !service.instances.includes(origin.instance))
    return 'the policy does not name this instance';
  if (origin.draining) return 'draining';
  return emptied.includes(origin.zone)
    ? 'its zone is emptied'
    : closed.includes(origin.zone)
      ? 'the origins of its zone get nothing'
      : 'takes work';
};

/**
 * What an intent would move. The same allocation as the quota leader's is worked out over what the
 * nodes now ask for; callers of an emptied zone count as spread over the nodes that are left.
 *
 * @example
 * plan(known, { empty: ['west'] }).nodes // the nodes of west: serves -> emptied
 */
export const plan = (known: Known, intent: Intent): Moves => {
  const policy = intent.policy ?? known.policy;
  const emptied = [
    ...new Set([
      ...known.emptied.filter((zone) => intent.takeBack?.includes(zone) !== true),
      ...(intent.empty ?? []),
    ]),
  ];
  const wereClosed = known.closedOrigins ?? known.emptied;
  const closed = [
    ...new Set([
      ...wereClosed.filter((zone) => intent.takeBack?.includes(zone) !== true),
      ...(intent.empty ?? []),
    ]),
  ];
  const fronts = known.nodes.filter((node) => node.proxy !== null);
  const left = fronts.filter((node) => !emptied.includes(node.zone));
  const seats: readonly QuotaNode[] = left.map((node) => ({
    nodeId: node.id,
    zone: node.zone,
    region: node.region,
  }));
  const wantOf = (node: NodeRecord, service: string): number => node.wants[service] ?? 0;
  const displaced = (service: string): number =>
    fronts
      .filter((node) => emptied.includes(node.zone))
      .reduce((sum, node) => sum + wantOf(node, service), 0);
  const wantsAfter = (service: string): QuotaShares =>
    Object.fromEntries(
      left.map((node) => [node.id, wantOf(node, service) + displaced(service) / left.length]),
    );
  const services = [
    ...new Set([...Object.keys(known.policy.services), ...Object.keys(policy.services)]),
  ].sort();

  /** What a service could get then: its ceiling, or less where its instances carry less. */
  const boundAfter = (service: string): number =>
    policy.services[service] === undefined
      ? 0
      : rateLimitOf(
          policy.services[service]?.ceiling,
          known.origins
            .filter(
              (origin) =>
                origin.service === service &&
                standing(origin, policy, closed, emptied) === 'takes work',
            )
            .map((origin) => origin.capacity ?? Infinity),
        );

  const shares = services.flatMap((service) => {
    const homes = Routes.homeRegionsOf(policy.routes, service);
    const allowed =
      homes === undefined ? seats : seats.filter((seat) => homes.includes(seat.region));
    const bound = boundAfter(service);
    const after =
      bound === 0 || allowed.length === 0
        ? {}
        : allocateQuotas(bound, allowed, wantsAfter(service));
    return fronts.flatMap((node) => {
      if (bound === Infinity) return [];
      const [was, will] = [known.slices[service]?.[node.id] ?? 0, rateOf(after, node.id, bound)];
      return Math.abs(was - will) > 0.05 * Math.max(was, will)
        ? [{ service, node: node.id, before: was, after: will }]
        : [];
    });
  });
  const load = fronts.map((node) => ({
    node: node.id,
    before: Object.values(node.wants).reduce((sum, rate) => sum + rate, 0),
    after: emptied.includes(node.zone)
      ? 0
      : services.reduce(
          (sum, service) =>
            sum +
            (policy.services[service] === undefined ? 0 : (wantsAfter(service)[node.id] ?? 0)),
          0,
        ),
  }));
  const homeless = policy.routes.filter(
    (route) =>
      route.homes !== undefined &&
      !left.some((node) => route.homes?.includes(node.region) === true),
  );
  const idle = Object.keys(policy.services).filter(
    (service) =>
      !known.origins.some(
        (origin) =>
          origin.service === service && standing(origin, policy, closed, emptied) === 'takes work',
      ),
  );
  const starved = services.filter(
    (service) =>
      policy.services[service] !== undefined &&
      fronts.reduce((sum, node) => sum + wantOf(node, service), 0) > boundAfter(service),
  );
  return {
    routes: routeMoves(known.policy, policy),
    services: services.flatMap((service): Moves['services'] => {
      const [was, will] = [known.policy.services[service], policy.services[service]];
      if (JSON.stringify(was) === JSON.stringify(will)) return [];
      return [
        {
          service,
          change: was === undefined ? 'added' : will === undefined ? 'removed' : 'changed',
          ceiling: [was?.ceiling ?? null, will?.ceiling ?? null],
        },
      ];
    }),
    origins: known.origins.flatMap((origin) => {
      const [before, after] = [
        standing(origin, known.policy, wereClosed, known.emptied),
        standing(origin, policy, closed, emptied),
      ];
      return before === after
        ? []
        : [{ origin: `${origin.service}/${origin.instance}`, before, after }];
    }),
    nodes: fronts.flatMap((node) => {
      const [before, after] = [known.emptied, emptied].map((zones) =>
        zones.includes(node.zone) ? 'emptied' : 'serves',
      );
      return before === undefined || after === undefined || before === after
        ? []
        : [{ node: node.id, before, after }];
    }),
    shares,
    load,
    warnings: [
      ...(left.length === 0 ? ['no node would be left to serve callers'] : []),
      ...homeless.map(
        (route) =>
          `route ${route.name}: no node would be left in its homes ${route.homes?.join(', ') ?? ''}`,
      ),
      ...idle.map((service) => `service ${service}: no instance would take work`),
      ...starved.map(
        (service) =>
          `service ${service}: more is asked for now than its ceiling and its instances would let through`,
      ),
    ],
  };
};
