/** Predicts the effects of a config change or a zone order before it is sent. */

import type { NodeRecord } from '@reedyard/agent';
import {
  rateLimitOf,
  allocateQuotas,
  rateOf,
  type QuotaNode,
  type QuotaShares,
} from '@reedyard/quota-division';
import { Routes, type OriginDescription, type Policy, type Route } from '@reedyard/schemas';

/** The current state of the system, as the API of a node reports it. */
export type SystemState = {
  readonly policy: Policy;
  readonly evacuatedZones: readonly string[];
  /**
   * Zones whose origins get no requests, including the evacuated zones; if omitted, the evacuated
   * zones alone.
   */
  readonly zonesWithClosedOrigins?: readonly string[];
  readonly nodes: readonly NodeRecord[];
  readonly origins: readonly OriginDescription[];
  /** By service and node, the quota in requests per second. */
  readonly quotaRates: Readonly<Record<string, QuotaShares>>;
};

/** The change to predict: a new policy, zones to evacuate, and zones to restore. */
export type IntendedChange = {
  readonly policy?: Policy;
  readonly evacuate?: readonly string[];
  readonly restore?: readonly string[];
};

/** The predicted effects of a change; `reedyard plan --json` prints them. */
export type ChangePlan = {
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
  /** Attempts per second that the clients of each node demand, before and after the change. */
  readonly load: readonly {
    readonly node: string;
    readonly before: number;
    readonly after: number;
  }[];
  readonly warnings: readonly string[];
};

const routesByName = (routes: readonly Route[]): ReadonlyMap<string, Route> =>
  new Map(routes.map((route) => [route.name, route]));

const compareRoutes = (before: Policy, after: Policy): ChangePlan['routes'] => {
  const [oldRoutes, newRoutes] = [routesByName(before.routes), routesByName(after.routes)];
  return {
    added: [...newRoutes.keys()].filter((name) => !oldRoutes.has(name)),
    removed: [...oldRoutes.keys()].filter((name) => !newRoutes.has(name)),
    changed: [...newRoutes].flatMap(([name, route]) => {
      const oldRoute = oldRoutes.get(name);
      if (oldRoute === undefined) return [];
      const fields = [...new Set([...Object.keys(oldRoute), ...Object.keys(route)])].filter(
        (field) =>
          JSON.stringify(oldRoute[field as keyof Route]) !==
          JSON.stringify(route[field as keyof Route]),
      );
      return fields.length === 0 ? [] : [{ route: name, fields }];
    }),
  };
};

/** Whether an origin gets requests (`takes work`), or the reason why it gets none. */
const originStateOf = (
  origin: OriginDescription,
  policy: Policy,
  zonesWithClosedOrigins: readonly string[],
  evacuatedZones: readonly string[],
): string => {
  const service = policy.services[origin.service];
  if (service === undefined) return 'no policy allows this service';
  if (service.instances !== undefined && !service.instances.includes(origin.instance))
    return 'the policy does not name this instance';
  if (origin.draining) return 'draining';
  return evacuatedZones.includes(origin.zone)
    ? 'its zone is emptied'
    : zonesWithClosedOrigins.includes(origin.zone)
      ? 'the origins of its zone get nothing'
      : 'takes work';
};

/**
 * Predicts the effects of a change. Quotas are allocated as by the quota leader, over the current
 * demand of the nodes; the clients of an evacuated zone count as evenly spread over the remaining
 * nodes.
 *
 * @example
 * plan(current, { evacuate: ['west'] }).nodes // the nodes of west: serves -> emptied
 */
export const plan = (current: SystemState, change: IntendedChange): ChangePlan => {
  const policy = change.policy ?? current.policy;
  const evacuatedAfter = [
    ...new Set([
      ...current.evacuatedZones.filter((zone) => change.restore?.includes(zone) !== true),
      ...(change.evacuate ?? []),
    ]),
  ];
  const closedBefore = current.zonesWithClosedOrigins ?? current.evacuatedZones;
  const closedAfter = [
    ...new Set([
      ...closedBefore.filter((zone) => change.restore?.includes(zone) !== true),
      ...(change.evacuate ?? []),
    ]),
  ];
  const proxyNodes = current.nodes.filter((node) => node.proxy !== null);
  const remainingNodes = proxyNodes.filter((node) => !evacuatedAfter.includes(node.zone));
  const quotaNodes: readonly QuotaNode[] = remainingNodes.map((node) => ({
    nodeId: node.id,
    zone: node.zone,
    region: node.region,
  }));
  const demandOf = (node: NodeRecord, service: string): number => node.wants[service] ?? 0;
  const displacedDemand = (service: string): number =>
    proxyNodes
      .filter((node) => evacuatedAfter.includes(node.zone))
      .reduce((sum, node) => sum + demandOf(node, service), 0);
  const demandAfter = (service: string): QuotaShares =>
    Object.fromEntries(
      remainingNodes.map((node) => [
        node.id,
        demandOf(node, service) + displacedDemand(service) / remainingNodes.length,
      ]),
    );
  const services = [
    ...new Set([...Object.keys(current.policy.services), ...Object.keys(policy.services)]),
  ].sort();

  /** Rate limit of a service after the change: its ceiling, or less if its instances serve less. */
  const rateLimitAfter = (service: string): number =>
    policy.services[service] === undefined
      ? 0
      : rateLimitOf(
          policy.services[service]?.ceiling,
          current.origins
            .filter(
              (origin) =>
                origin.service === service &&
                originStateOf(origin, policy, closedAfter, evacuatedAfter) === 'takes work',
            )
            .map((origin) => origin.capacity ?? Infinity),
        );

  const shares = services.flatMap((service) => {
    const homeRegions = Routes.homeRegionsOf(policy.routes, service);
    const eligibleNodes =
      homeRegions === undefined
        ? quotaNodes
        : quotaNodes.filter((node) => homeRegions.includes(node.region));
    const rateLimit = rateLimitAfter(service);
    const sharesAfter =
      rateLimit === 0 || eligibleNodes.length === 0
        ? {}
        : allocateQuotas(rateLimit, eligibleNodes, demandAfter(service));
    return proxyNodes.flatMap((node) => {
      if (rateLimit === Infinity) return [];
      const [before, after] = [
        current.quotaRates[service]?.[node.id] ?? 0,
        rateOf(sharesAfter, node.id, rateLimit),
      ];
      return Math.abs(before - after) > 0.05 * Math.max(before, after)
        ? [{ service, node: node.id, before, after }]
        : [];
    });
  });
  const load = proxyNodes.map((node) => ({
    node: node.id,
    before: Object.values(node.wants).reduce((sum, rate) => sum + rate, 0),
    after: evacuatedAfter.includes(node.zone)
      ? 0
      : services.reduce(
          (sum, service) =>
            sum +
            (policy.services[service] === undefined ? 0 : (demandAfter(service)[node.id] ?? 0)),
          0,
        ),
  }));
  const routesWithoutNodes = policy.routes.filter(
    (route) =>
      route.homes !== undefined &&
      !remainingNodes.some((node) => route.homes?.includes(node.region) === true),
  );
  const servicesWithoutInstances = Object.keys(policy.services).filter(
    (service) =>
      !current.origins.some(
        (origin) =>
          origin.service === service &&
          originStateOf(origin, policy, closedAfter, evacuatedAfter) === 'takes work',
      ),
  );
  const overloadedServices = services.filter(
    (service) =>
      policy.services[service] !== undefined &&
      proxyNodes.reduce((sum, node) => sum + demandOf(node, service), 0) > rateLimitAfter(service),
  );
  return {
    routes: compareRoutes(current.policy, policy),
    services: services.flatMap((service): ChangePlan['services'] => {
      const [before, after] = [current.policy.services[service], policy.services[service]];
      if (JSON.stringify(before) === JSON.stringify(after)) return [];
      return [
        {
          service,
          change: before === undefined ? 'added' : after === undefined ? 'removed' : 'changed',
          ceiling: [before?.ceiling ?? null, after?.ceiling ?? null],
        },
      ];
    }),
    origins: current.origins.flatMap((origin) => {
      const [before, after] = [
        originStateOf(origin, current.policy, closedBefore, current.evacuatedZones),
        originStateOf(origin, policy, closedAfter, evacuatedAfter),
      ];
      return before === after
        ? []
        : [{ origin: `${origin.service}/${origin.instance}`, before, after }];
    }),
    nodes: proxyNodes.flatMap((node) => {
      const [before, after] = [current.evacuatedZones, evacuatedAfter].map((zones) =>
        zones.includes(node.zone) ? 'emptied' : 'serves',
      );
      return before === undefined || after === undefined || before === after
        ? []
        : [{ node: node.id, before, after }];
    }),
    shares,
    load,
    warnings: [
      ...(remainingNodes.length === 0 ? ['no node would remain to serve clients'] : []),
      ...routesWithoutNodes.map(
        (route) =>
          `route ${route.name}: no node would remain in its home regions ${route.homes?.join(', ') ?? ''}`,
      ),
      ...servicesWithoutInstances.map(
        (service) => `service ${service}: no instance would get requests`,
      ),
      ...overloadedServices.map(
        (service) =>
          `service ${service}: the current demand exceeds its ceiling or the capacity of its instances`,
      ),
    ],
  };
};
