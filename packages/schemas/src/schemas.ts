/** Schemas and validation of the documents that operators and origins send. */

import { isIP } from 'node:net';
import { z } from 'zod';
import { CodedError } from '@reedyard/logging';

/** A fault in a document: the path of the invalid part, and a message for people. */
export type DocumentFault = { readonly path: string; readonly message: string };

/** Thrown for an invalid document; lists every fault in it. */
export class SchemaError extends CodedError {
  constructor(readonly faults: readonly DocumentFault[]) {
    super('document', faults.map((fault) => `${fault.path}: ${fault.message}`).join('; '));
  }
}

/** Maximum characters of a route's path; only this much of a request target is matched. */
const maxPathLength = 2_048;

const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9._-]{0,62}$/i,
    'expected a name of letters, digits, dots, dashes and underscores',
  );
const addressSchema = z.string().refine((text) => {
  const colon = text.lastIndexOf(':');
  return (
    colon > 0 &&
    isIP(text.slice(0, colon)) !== 0 &&
    /^[1-9]\d{0,4}$/.test(text.slice(colon + 1)) &&
    Number(text.slice(colon + 1)) <= 65_535
  );
}, 'expected IP:PORT');

const methods = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const;

/** The operator's own data: stored and returned unchanged, never interpreted. */
const notesSchema = z.record(z.string(), z.json()).optional();

const serviceSchema = z.strictObject({
  /**
   * Rate limit of the service, in requests per second; if omitted, the sum of the capacities of its
   * instances.
   */
  ceiling: z.number().positive().max(1e7).optional(),
  /**
   * Rate limit of one instance that is warming up, in requests per second; if omitted, such an
   * instance gets as much as a warm instance.
   */
  coldRate: z.number().positive().max(1e7).optional(),
  /** How long an instance usually warms up after its start, in seconds. */
  coldSeconds: z.number().nonnegative().max(86_400).optional(),
  /** Maximum connections that one instance accepts from all nodes together. */
  instanceConns: z.number().int().positive().max(1_000_000).optional(),
  /** Path of an instance's health check. */
  probePath: z
    .string()
    .max(maxPathLength)
    .regex(/^\/[^#\s]*$/, 'expected a path that begins with /')
    .optional(),
  /** Names of the instances that may register; if omitted, any instance may. */
  instances: z.array(nameSchema).min(1).max(10_000).optional(),
  notes: notesSchema,
});

const weightedServiceSchema = z.strictObject({
  service: nameSchema,
  weight: z.number().nonnegative().max(1e9),
});

const routeSchema = z.strictObject({
  name: z
    .string()
    .min(1)
    .max(255)
    .regex(/^\P{Cc}*$/u, 'expected a name without control characters'),
  /** Host names are compared without regard to case. */
  host: z
    .string()
    .min(1)
    .max(253)
    .regex(/^[a-z0-9._-]+$/i, 'expected a host name without a port'),
  path: z
    .string()
    .max(maxPathLength)
    .regex(/^\/[^?#\s]*$/, 'expected a path prefix that begins with /'),
  /** The service that receives the route's requests; optional if `services` is given. */
  service: nameSchema.optional(),
  /**
   * The route's requests are distributed among these services at random, in proportion to the
   * weights. Takes precedence over `service`.
   */
  services: z.array(weightedServiceSchema).min(1).max(1_000).optional(),
  methods: z.array(z.enum(methods)).min(1).default(['GET', 'HEAD']),
  /**
   * Which requests may be sent to a second origin although the first may have executed them:
   * `by-method` (the default) those with a safe method, `safe` all, `never` none.
   */
  repeat: z.enum(['by-method', 'safe', 'never']).optional(),
  /**
   * Whether responses are cached: as the origin's headers say, never, or always for `mostSeconds`.
   * A cached response is never used for longer than `mostSeconds`.
   */
  cache: z
    .strictObject({
      keep: z.enum(['origin', 'never', 'always']).default('origin'),
      mostSeconds: z.number().positive().max(31_536_000).optional(),
    })
    .default({ keep: 'origin' }),
  /** The only regions in which the route's objects may be fetched and cached; if omitted, any. */
  homes: z.array(nameSchema).min(1).optional(),
  limits: z
    .strictObject({
      bodyBytes: z
        .number()
        .int()
        .positive()
        .max(64 * 1024 * 1024)
        .optional(),
      requestMs: z.number().int().positive().max(3_600_000).optional(),
      attemptMs: z.number().int().positive().max(60_000).optional(),
      /** Maximum number of origins that one request may be sent to. */
      attempts: z.number().int().positive().max(1_000).optional(),
    })
    .default({}),
  /** Target response time, in milliseconds: a response within this time is worth the most. */
  targetMs: z.number().nonnegative().max(3_600_000).optional(),
  /** Priority of the route when not all requests can be served; 0 is the highest. */
  priority: z.number().int().nonnegative().max(1_000_000).optional(),
  /**
   * `required`: an unsafe request without an Idempotency-Key is refused, since a repetition of it
   * can't be recognized.
   */
  key: z.enum(['required', 'optional']).optional(),
  /**
   * Response header with the purge tags of an object, separated by spaces or commas. A word that
   * contains commas can be purged as a whole, too.
   */
  tagsHeader: z
    .string()
    .regex(/^[a-z0-9-]+$/)
    .default('surrogate-key'),
  notes: notesSchema,
});

const policySchema = z.strictObject({
  /** If two documents carry a version, the document with the higher version wins. */
  version: z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER).optional(),
  services: z.record(nameSchema, serviceSchema),
  routes: z.array(routeSchema).max(50_000),
  /** Limits on clients: sizes of head and body, time to send a head, idle time of a connection. */
  callers: z
    .strictObject({
      headBytes: z.number().int().positive().max(1_048_576).optional(),
      bodyBytes: z
        .number()
        .int()
        .positive()
        .max(64 * 1024 * 1024)
        .optional(),
      headMs: z.number().positive().max(3_600_000).optional(),
      idleMs: z.number().positive().max(3_600_000).optional(),
    })
    .optional(),
  notes: notesSchema,
});

/** A service of the policy and its limits. */
export type Service = z.infer<typeof serviceSchema>;
/** A route: which requests belong to it, their services, and how responses are cached. */
export type Route = z.infer<typeof routeSchema>;
/** A service of a route, with its weight among the route's services. */
export type WeightedService = z.infer<typeof weightedServiceSchema>;
/** The complete desired state that an operator sends. */
export type Policy = z.infer<typeof policySchema>;

const descriptionSchema = z
  .strictObject({
    service: nameSchema,
    instance: nameSchema,
    /** Increases with each start of the instance. */
    incarnation: z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER),
    address: addressSchema,
    region: nameSchema,
    zone: nameSchema,
    /** Requests per second that the instance can serve; optional if `slots` is given. */
    capacity: z.number().positive().max(1e7).optional(),
    /** Number of requests that the instance processes concurrently. */
    slots: z.number().int().positive().max(1_000_000).optional(),
    state: z.enum(['cold', 'warm']).default('warm'),
    /** How much longer the instance warms up, in milliseconds. */
    coldMs: z.number().nonnegative().max(86_400_000).optional(),
    draining: z.boolean().default(false),
    /**
     * Increases with each description that an incarnation sends; a description with a lower number
     * than the known description changes nothing.
     */
    sequence: z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER).optional(),
    /** Version of the instance's software. */
    release: z.string().max(255).optional(),
  })
  .refine((sent) => sent.capacity !== undefined || sent.slots !== undefined, {
    path: ['capacity'],
    message: 'expected a capacity or slots',
  });

/** The self-description that an origin sends. */
export type OriginDescription = z.infer<typeof descriptionSchema>;

const purgeSchema = z
  .strictObject({
    /** URLs of objects, as http://host/path or host/path, with their query. */
    objects: z.array(z.string().min(3).max(8_192)).max(4_096).default([]),
    tags: z.array(z.string().min(1).max(256)).max(4_096).default([]),
  })
  .refine(
    (sent) => sent.objects.length + sent.tags.length > 0,
    'expected at least one object or tag',
  );
/** The objects and tags that an operator purges from the caches. */
export type Purge = z.infer<typeof purgeSchema>;

const zoneOrderSchema = z.strictObject({
  order: z.enum(['empty', 'take-back']),
  /** `origins`: the zone's origins get no more requests, but its nodes still serve clients. */
  of: z.enum(['all', 'origins']).default('all'),
});
/** An operator's order to evacuate a zone or to restore it. */
export type ZoneOrder = z.infer<typeof zoneOrderSchema>;

const parserOf =
  <T>(schema: z.ZodType<T>) =>
  (raw: unknown): T => {
    const parsed = schema.safeParse(raw);
    if (parsed.success) return parsed.data;
    throw new SchemaError(
      parsed.error.issues.map((issue) => ({
        path: `/${issue.path.join('/')}`,
        message: issue.message,
      })),
    );
  };

/** Checks the references and duplicates that the schema can't express. */
const checkConsistency = (document: Policy): Policy => {
  const faults: DocumentFault[] = [];
  const indexByName = new Map<string, number>();
  const indexByHostAndPath = new Map<string, number>();
  document.routes.forEach((route, index) => {
    const isDefined = (service: string): boolean => Object.hasOwn(document.services, service);
    if (route.service === undefined && route.services === undefined)
      faults.push({
        path: `/routes/${index}/service`,
        message: 'expected a service, or services with weights',
      });
    if (route.service !== undefined && !isDefined(route.service))
      faults.push({
        path: `/routes/${index}/service`,
        message: `no service is named ${route.service}`,
      });
    route.services?.forEach((weighted, position) => {
      if (!isDefined(weighted.service))
        faults.push({
          path: `/routes/${index}/services/${position}/service`,
          message: `no service is named ${weighted.service}`,
        });
    });
    if (route.services !== undefined && route.services.every((weighted) => weighted.weight === 0))
      faults.push({ path: `/routes/${index}/services`, message: 'the weights add up to 0' });
    if (route.cache.keep === 'always' && route.cache.mostSeconds === undefined)
      faults.push({
        path: `/routes/${index}/cache/mostSeconds`,
        message: 'required with keep: always',
      });
    const sameNameIndex = indexByName.get(route.name);
    if (sameNameIndex !== undefined)
      faults.push({
        path: `/routes/${index}/name`,
        message: `already the name of /routes/${sameNameIndex}`,
      });
    indexByName.set(route.name, index);
    const hostAndPath = `${route.host.toLowerCase()}${route.path}`;
    const samePathIndex = indexByHostAndPath.get(hostAndPath);
    if (samePathIndex !== undefined)
      faults.push({
        path: `/routes/${index}/path`,
        message: `clashes with /routes/${samePathIndex}: the same host and path`,
      });
    indexByHostAndPath.set(hostAndPath, index);
  });
  if (faults.length > 0) throw new SchemaError(faults);
  return document;
};

/** Parses documents; each parser throws a SchemaError for an invalid document. */
export const Schemas = {
  /** @example Schemas.policy({ services: {}, routes: [] }).routes // [] */
  policy: (raw: unknown): Policy =>
    checkConsistency(parserOf(policySchema as z.ZodType<Policy>)(raw)),
  /** @example Schemas.description({ service: 'store' }) // throws: instance, address, … are missing */
  description: parserOf(descriptionSchema as z.ZodType<OriginDescription>),
  /** @example Schemas.purge({ tags: ['depot-7'] }).tags // ['depot-7'] */
  purge: parserOf(purgeSchema as z.ZodType<Purge>),
  /** @example Schemas.zoneOrder({ order: 'empty' }).order // 'empty' */
  zoneOrder: parserOf(zoneOrderSchema as z.ZodType<ZoneOrder>),
} as const;

/** Routes by lower-case host name, then by path. */
export type RouteTable = ReadonlyMap<string, ReadonlyMap<string, Route>>;

/** The result of `Routes.services` for each route, cached because every request needs it. */
const weightedServicesCache = new WeakMap<Route, readonly WeightedService[]>();

/** Lookups of routes and of their services. */
export const Routes = {
  /**
   * The services that a route's requests are distributed among, with their weights; a service with
   * weight 0 gets no requests.
   *
   * @example
   * Routes.services({ ...route, service: 'store' }) // [{ service: 'store', weight: 1 }]
   */
  services: (route: Route): readonly WeightedService[] => {
    const cached = weightedServicesCache.get(route);
    if (cached !== undefined) return cached;
    const services =
      route.services?.filter((weighted) => weighted.weight > 0) ??
      (route.service === undefined ? [] : [{ service: route.service, weight: 1 }]);
    weightedServicesCache.set(route, services);
    return services;
  },

  /** Whether a route's requests may go to a service. @example Routes.allows(route, 'store') // true */
  allows: (route: Route, service: string): boolean =>
    Routes.services(route).some((weighted) => weighted.service === service),

  /** The first of a route's services. @example Routes.mainService(route) // 'store' */
  mainService: (route: Route): string => Routes.services(route)[0]?.service ?? '',

  /**
   * The home regions of all routes of a service together; undefined if the service has no route, or
   * a route without home regions.
   *
   * @example
   * Routes.homeRegionsOf(policy.routes, 'store') // ['north', 'west']
   */
  homeRegionsOf: (routes: readonly Route[], service: string): readonly string[] | undefined => {
    const homesByRoute = routes
      .filter((route) => Routes.allows(route, service))
      .map((route) => route.homes);
    return homesByRoute.length === 0 || homesByRoute.includes(undefined)
      ? undefined
      : [...new Set(homesByRoute.flatMap((homes) => homes ?? []))];
  },

  /** Indexes routes for `find`. @example Routes.table(policy.routes).get('a.example')?.get('/sheets/') */
  table: (routes: readonly Route[]): RouteTable => {
    const byHost = new Map<string, Map<string, Route>>();
    for (const route of routes) {
      const byPath = byHost.get(route.host.toLowerCase()) ?? new Map<string, Route>();
      byPath.set(route.path, route);
      byHost.set(route.host.toLowerCase(), byPath);
    }
    return byHost;
  },

  /**
   * Finds the route of a request: the longest matching path prefix of its host. A prefix must end at
   * the end of a path segment. Each such prefix is looked up, so the cost depends on the depth of the
   * path and not on the number of routes.
   *
   * @example
   * Routes.find(table, 'a.example:80', '/sheets/7?x=1')?.name // 'sheets' for the prefix /sheets
   */
  find: (table: RouteTable, host: string, target: string): Route | undefined => {
    const byPath = table.get(host.replace(/:\d+$/, '').toLowerCase());
    if (byPath === undefined) return undefined;
    const path = target.split('?', 1)[0] ?? '/';
    const exactMatch = path.length <= maxPathLength ? byPath.get(path) : undefined;
    if (exactMatch !== undefined) return exactMatch;
    for (
      let slash = path.lastIndexOf('/', maxPathLength);
      slash >= 0;
      slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1)
    ) {
      const prefixMatch = byPath.get(path.slice(0, slash + 1)) ?? byPath.get(path.slice(0, slash));
      if (prefixMatch !== undefined) return prefixMatch;
    }
    return undefined;
  },
} as const;
