/** Documents of operators and origins: their forms, and how they are checked. */

import { isIP } from 'node:net';
import { z } from 'zod';
import { CodedError } from '@reedyard/logging';

/** One fault of a document: where, and what is wrong. */
export type Fault = { readonly path: string; readonly message: string };

/** A document that can't be taken. */
export class SchemaError extends CodedError {
  constructor(readonly faults: readonly Fault[]) {
    super('document', faults.map((fault) => `${fault.path}: ${fault.message}`).join('; '));
  }
}

/** Characters of a route's path at most; no longer part of a target is looked for. */
const longestPath = 2_048;

const name = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9._-]{0,62}$/i,
    'wanted a name of letters, digits, dots, dashes and underscores',
  );
const address = z.string().refine((text) => {
  const cut = text.lastIndexOf(':');
  return (
    cut > 0 &&
    isIP(text.slice(0, cut)) !== 0 &&
    /^[1-9]\d{0,4}$/.test(text.slice(cut + 1)) &&
    Number(text.slice(cut + 1)) <= 65_535
  );
}, 'wanted IP:PORT');

const methods = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const;

/** Kept for the operator and given back as it came; nothing here reads it. */
const notes = z.record(z.string(), z.json()).optional();

const service = z.strictObject({
  /**
   * Requests a second that the whole service may get; left out, what its instances say they carry.
   */
  ceiling: z.number().positive().max(1e7).optional(),
  /**
   * Requests a second that one cold instance bears; left out, a cold one gets what a warm one gets.
   */
  coldRate: z.number().positive().max(1e7).optional(),
  /** How long an instance is cold after its start, as a rule. */
  coldSeconds: z.number().nonnegative().max(86_400).optional(),
  /** Connections that one instance accepts from all nodes together. */
  instanceConns: z.number().int().positive().max(1_000_000).optional(),
  /** Where an instance tells whether it is well. */
  probePath: z
    .string()
    .max(longestPath)
    .regex(/^\/[^#\s]*$/, 'wanted a path that begins with /')
    .optional(),
  /** Instances that may register; left out, any may. */
  instances: z.array(name).min(1).max(10_000).optional(),
  notes,
});

const weighted = z.strictObject({ service: name, weight: z.number().nonnegative().max(1e9) });

const route = z.strictObject({
  name: z
    .string()
    .min(1)
    .max(255)
    .regex(/^\P{Cc}*$/u, 'wanted a name without control characters'),
  /** Host names are the same in small and in capital letters. */
  host: z
    .string()
    .min(1)
    .max(253)
    .regex(/^[a-z0-9._-]+$/i, 'wanted a host name without a port'),
  path: z
    .string()
    .max(longestPath)
    .regex(/^\/[^?#\s]*$/, 'wanted a path prefix that begins with /'),
  /** Where its requests go; may be left out if `services` is given. */
  service: name.optional(),
  /** Its requests are split among these by chance, by weight. Goes before `service`. */
  services: z.array(weighted).min(1).max(1_000).optional(),
  methods: z.array(z.enum(methods)).min(1).default(['GET', 'HEAD']),
  /**
   * Which requests may be sent to a second origin though the first may have run them: those of safe
   * methods, all, none.
   */
  repeat: z.enum(['by-method', 'safe', 'never']).optional(),
  /**
   * Whether copies are kept: as the origin's headers say, never, or always for `mostSeconds`; and
   * for at most so long.
   */
  cache: z
    .strictObject({
      keep: z.enum(['origin', 'never', 'always']).default('origin'),
      mostSeconds: z.number().positive().max(31_536_000).optional(),
    })
    .default({ keep: 'origin' }),
  /** Regions in which alone its reports may be fetched and kept; left out, anywhere. */
  homes: z.array(name).min(1).optional(),
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
      /** Origins that one request may be sent to. */
      attempts: z.number().int().positive().max(1_000).optional(),
    })
    .default({}),
  /** Time within which an answer is worth most. */
  targetMs: z.number().nonnegative().max(3_600_000).optional(),
  /** Its rank where not all can be served; 0 is the highest. */
  priority: z.number().int().nonnegative().max(1_000_000).optional(),
  /**
   * `required`: an unsafe request without an Idempotency-Key is refused, since a repeat of it can't
   * be told.
   */
  key: z.enum(['required', 'optional']).optional(),
  /** Response header that carries the purge tags of an object, separated by spaces or commas. */
  tagsHeader: z
    .string()
    .regex(/^[a-z0-9-]+$/)
    .default('surrogate-key'),
  notes,
});

const policy = z.strictObject({
  /** Of two documents with a version the higher one holds. */
  version: z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER).optional(),
  services: z.record(name, service),
  routes: z.array(route).max(50_000),
  /** What callers may send, and how long they may take over a head or stay idle. */
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
  notes,
});

export type Service = z.infer<typeof service>;
export type Route = z.infer<typeof route>;
/** One part of a split: a service, and its weight among the others. */
export type Weighted = z.infer<typeof weighted>;
/** The whole desired state that an operator sends. */
export type Policy = z.infer<typeof policy>;

const description = z
  .strictObject({
    service: name,
    instance: name,
    /** Grows with each start of the instance. */
    incarnation: z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER),
    address,
    region: name,
    zone: name,
    /** Requests a second that it carries; may be left out if `slots` is given. */
    capacity: z.number().positive().max(1e7).optional(),
    /** Requests that it works on at once. */
    slots: z.number().int().positive().max(1_000_000).optional(),
    state: z.enum(['cold', 'warm']).default('warm'),
    /** How much longer it is cold. */
    coldMs: z.number().nonnegative().max(86_400_000).optional(),
    draining: z.boolean().default(false),
    /** Grows with each telling of one incarnation; an older one than is known changes nothing. */
    sequence: z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER).optional(),
    /** Version of its software. */
    release: z.string().max(255).optional(),
  })
  .refine((told) => told.capacity !== undefined || told.slots !== undefined, {
    path: ['capacity'],
    message: 'wanted a capacity or slots',
  });

/** What an origin says of itself. */
export type Description = z.infer<typeof description>;

const purge = z
  .strictObject({
    /** Objects as http://host/path or host/path, with their query. */
    objects: z.array(z.string().min(3).max(8_192)).max(4_096).default([]),
    tags: z.array(z.string().min(1).max(256)).max(4_096).default([]),
  })
  .refine((all) => all.objects.length + all.tags.length > 0, 'wanted at least one object or tag');
export type Purge = z.infer<typeof purge>;

const zoneOrder = z.strictObject({
  order: z.enum(['empty', 'take-back']),
  /** `origins`: nothing more is sent to its origins, but its nodes go on taking callers. */
  of: z.enum(['all', 'origins']).default('all'),
});
export type ZoneOrder = z.infer<typeof zoneOrder>;

const checked =
  <T>(schema: z.ZodType<T>) =>
  (raw: unknown): T => {
    const read = schema.safeParse(raw);
    if (read.success) return read.data;
    throw new SchemaError(
      read.error.issues.map((issue) => ({
        path: `/${issue.path.join('/')}`,
        message: issue.message,
      })),
    );
  };

const crossChecked = (document: Policy): Policy => {
  const faults: Fault[] = [];
  const names = new Map<string, number>();
  const places = new Map<string, number>();
  document.routes.forEach((each, index) => {
    const known = (service: string): boolean => Object.hasOwn(document.services, service);
    if (each.service === undefined && each.services === undefined)
      faults.push({
        path: `/routes/${index}/service`,
        message: 'wanted a service, or services with weights',
      });
    if (each.service !== undefined && !known(each.service))
      faults.push({
        path: `/routes/${index}/service`,
        message: `no service is named ${each.service}`,
      });
    each.services?.forEach((part, at) => {
      if (!known(part.service))
        faults.push({
          path: `/routes/${index}/services/${at}/service`,
          message: `no service is named ${part.service}`,
        });
    });
    if (each.services !== undefined && each.services.every((part) => part.weight === 0))
      faults.push({ path: `/routes/${index}/services`, message: 'the weights add up to 0' });
    if (each.cache.keep === 'always' && each.cache.mostSeconds === undefined)
      faults.push({
        path: `/routes/${index}/cache/mostSeconds`,
        message: 'wanted with keep: always',
      });
    const sameName = names.get(each.name);
    if (sameName !== undefined)
      faults.push({
        path: `/routes/${index}/name`,
        message: `the name of /routes/${sameName} too`,
      });
    names.set(each.name, index);
    const place = `${each.host.toLowerCase()}${each.path}`;
    const samePlace = places.get(place);
    if (samePlace !== undefined)
      faults.push({
        path: `/routes/${index}/path`,
        message: `clashes with /routes/${samePlace}: the same host and path`,
      });
    places.set(place, index);
  });
  if (faults.length > 0) throw new SchemaError(faults);
  return document;
};

export const Schemas = {
  /** @example Schemas.policy({ services: {}, routes: [] }).routes // [] */
  policy: (raw: unknown): Policy => crossChecked(checked(policy as z.ZodType<Policy>)(raw)),
  /** @example Schemas.description({ service: 'store' }) // throws, naming what lacks */
  description: checked(description as z.ZodType<Description>),
  /** @example Schemas.purge({ tags: ['depot-7'] }).tags // ['depot-7'] */
  purge: checked(purge as z.ZodType<Purge>),
  /** @example Schemas.zoneOrder({ order: 'empty' }).order // 'empty' */
  zoneOrder: checked(zoneOrder as z.ZodType<ZoneOrder>),
} as const;

/** Routes by host and path. */
export type RouteTable = ReadonlyMap<string, ReadonlyMap<string, Route>>;

/**
 * Of each route, the services that it may go to: looked up with every request, so made but once.
 */
const splits = new WeakMap<Route, readonly Weighted[]>();

export const Routes = {
  /**
   * The services that a route's requests are split among, by weight; one without weight gets none.
   *
   * @example
   * Routes.services({ ...route, service: 'store' }) // [{ service: 'store', weight: 1 }]
   */
  services: (route: Route): readonly Weighted[] => {
    const known = splits.get(route);
    if (known !== undefined) return known;
    const made =
      route.services?.filter((part) => part.weight > 0) ??
      (route.service === undefined ? [] : [{ service: route.service, weight: 1 }]);
    splits.set(route, made);
    return made;
  },

  /** Whether a route's requests may go to a service. @example Routes.allows(route, 'store') // true */
  allows: (route: Route, service: string): boolean =>
    Routes.services(route).some((part) => part.service === service),

  /** The first of a route's services. @example Routes.mainService(route) // 'store' */
  mainService: (route: Route): string => Routes.services(route)[0]?.service ?? '',

  /** Regions that any of a service's routes may be served in; undefined where one may be served anywhere. @example Routes.homesOf(policy.routes, 'store') */
  homeRegionsOf: (routes: readonly Route[], service: string): readonly string[] | undefined => {
    const own = routes.filter((each) => Routes.allows(each, service)).map((each) => each.homes);
    return own.length === 0 || own.includes(undefined)
      ? undefined
      : [...new Set(own.flatMap((homes) => homes ?? []))];
  },

  /** @example Routes.table(policy.routes).get('a.example')?.get('/sheets/') */
  table: (routes: readonly Route[]): RouteTable => {
    const byHost = new Map<string, Map<string, Route>>();
    for (const each of routes) {
      const rows = byHost.get(each.host.toLowerCase()) ?? new Map<string, Route>();
      rows.set(each.path, each);
      byHost.set(each.host.toLowerCase(), rows);
    }
    return byHost;
  },

  /**
   * The route of a request: its host, and the longest prefix that ends where a path segment ends.
   * Looks up each such prefix, so that its cost follows the depth of the path and not the number of
   * routes.
   *
   * @example
   * Routes.find(table, 'a.example:80', '/sheets/7?x=1')?.name // 'sheets' for the prefix /sheets
   */
  find: (table: RouteTable, host: string, target: string): Route | undefined => {
    const rows = table.get(host.replace(/:\d+$/, '').toLowerCase());
    if (rows === undefined) return undefined;
    const path = target.split('?', 1)[0] ?? '/';
    const whole = path.length <= longestPath ? rows.get(path) : undefined;
    if (whole !== undefined) return whole;
    for (
      let cut = path.lastIndexOf('/', longestPath);
      cut >= 0;
      cut = cut === 0 ? -1 : path.lastIndexOf('/', cut - 1)
    ) {
      const found = rows.get(path.slice(0, cut + 1)) ?? rows.get(path.slice(0, cut));
      if (found !== undefined) return found;
    }
    return undefined;
  },
} as const;
