import { isIP } from 'node:net';
import { z } from 'zod';
import { LayerError } from '@reedyard/scriber';

/** One fault of a document: where, and what is wrong. */
export type Fault = { readonly path: string; readonly message: string };

/** A document that can't be taken. */
export class StencilError extends LayerError {
  constructor(readonly faults: readonly Fault[]) {
    super('document', faults.map((fault) => `${fault.path}: ${fault.message}`).join('; '));
  }
}

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/i, 'wanted a name of letters, digits, dots, dashes and underscores');
const address = z.string().refine((text) => {
  const cut = text.lastIndexOf(':');
  return cut > 0 && isIP(text.slice(0, cut)) !== 0 && /^[1-9]\d{0,4}$/.test(text.slice(cut + 1)) && Number(text.slice(cut + 1)) <= 65_535;
}, 'wanted IP:PORT');
/** Characters of a route's path at most; no longer part of a target is looked for. */
const longestPath = 2_048;

const methods = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const;

const service = z.strictObject({
  /** Requests a second that the whole service may get; left out, what its instances say they carry. */
  ceiling: z.number().positive().max(1e7).optional(),
  /** Requests a second that one cold instance bears. */
  coldRate: z.number().positive().max(1e7),
  /** Instances that may register; left out, any may. */
  instances: z.array(name).min(1).max(10_000).optional(),
});

const route = z.strictObject({
  name,
  host: z.string().min(1).max(253).regex(/^[a-z0-9.-]+$/, 'wanted a host name in small letters, without a port'),
  path: z.string().max(longestPath).regex(/^\/[^?#\s]*$/, 'wanted a path prefix that begins with /'),
  service: name,
  methods: z.array(z.enum(methods)).min(1).default(['GET', 'HEAD']),
  /** Whether copies are kept: as the origin's headers say, never, and for at most so long. */
  cache: z.strictObject({ keep: z.enum(['origin', 'never']).default('origin'), mostSeconds: z.number().positive().max(31_536_000).optional() }).default({ keep: 'origin' }),
  /** Regions in which alone its reports may be fetched and kept; left out, anywhere. */
  homes: z.array(name).min(1).optional(),
  limits: z.strictObject({
    bodyBytes: z.number().int().positive().max(16 * 1024 * 1024).optional(),
    transactionMs: z.number().int().positive().max(120_000).optional(),
    legMs: z.number().int().positive().max(60_000).optional(),
  }).default({}),
  /** `required`: an unsafe request without an Idempotency-Key is refused, since a repeat of it can't be told. */
  key: z.enum(['required', 'optional']).optional(),
  /** Response header that carries the purge tags of an object, separated by spaces or commas. */
  tagsHeader: z.string().regex(/^[a-z0-9-]+$/).default('surrogate-key'),
});

const policy = z.strictObject({ services: z.record(name, service), routes: z.array(route).max(50_000) });

export type Service = z.infer<typeof service>;
export type Route = z.infer<typeof route>;
/** The whole desired state that an operator sends. */
export type Policy = z.infer<typeof policy>;

const description = z.strictObject({
  service: name,
  instance: name,
  /** Grows with each start of the instance. */
  incarnation: z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER),
  address,
  region: name,
  hall: name,
  /** Requests a second that it carries. */
  capacity: z.number().positive().max(1e7),
  state: z.enum(['cold', 'warm']).default('warm'),
  draining: z.boolean().default(false),
});

/** What an origin says of itself. */
export type Description = z.infer<typeof description>;

const purge = z.strictObject({
  /** Objects as http://host/path or host/path, with their query. */
  objects: z.array(z.string().min(3).max(8_192)).max(4_096).default([]),
  tags: z.array(z.string().min(1).max(256)).max(4_096).default([]),
}).refine((all) => all.objects.length + all.tags.length > 0, 'wanted at least one object or tag');
export type Purge = z.infer<typeof purge>;

const hallOrder = z.strictObject({ order: z.enum(['empty', 'take-back']) });
export type HallOrder = z.infer<typeof hallOrder>;

const checked = <T>(schema: z.ZodType<T>) => (raw: unknown): T => {
  const read = schema.safeParse(raw);
  if (read.success) return read.data;
  throw new StencilError(read.error.issues.map((issue) => ({ path: `/${issue.path.join('/')}`, message: issue.message })));
};

const crossChecked = (document: Policy): Policy => {
  const faults: Fault[] = [];
  const names = new Map<string, number>();
  const places = new Map<string, number>();
  document.routes.forEach((each, index) => {
    if (document.services[each.service] === undefined) faults.push({ path: `/routes/${index}/service`, message: `no service is named ${each.service}` });
    const sameName = names.get(each.name);
    if (sameName !== undefined) faults.push({ path: `/routes/${index}/name`, message: `the name of /routes/${sameName} too` });
    names.set(each.name, index);
    const place = `${each.host}${each.path}`;
    const samePlace = places.get(place);
    if (samePlace !== undefined) faults.push({ path: `/routes/${index}/path`, message: `clashes with /routes/${samePlace}: the same host and path` });
    places.set(place, index);
  });
  if (faults.length > 0) throw new StencilError(faults);
  return document;
};

export const Stencil = {
  /** @example Stencil.policy({ services: {}, routes: [] }).routes // [] */
  policy: (raw: unknown): Policy => crossChecked(checked(policy as z.ZodType<Policy>)(raw)),
  /** @example Stencil.description({ service: 'store' }) // throws, naming what lacks */
  description: checked(description as z.ZodType<Description>),
  /** @example Stencil.purge({ tags: ['depot-7'] }).tags // ['depot-7'] */
  purge: checked(purge as z.ZodType<Purge>),
  /** @example Stencil.hallOrder({ order: 'empty' }).order // 'empty' */
  hallOrder: checked(hallOrder as z.ZodType<HallOrder>),
} as const;

/** Routes by host and path. */
export type RouteTable = ReadonlyMap<string, ReadonlyMap<string, Route>>;

export const Routes = {
  /** Regions that any of a service's routes may be served in; undefined where one may be served anywhere. @example Routes.homesOf(policy.routes, 'store') */
  homesOf: (routes: readonly Route[], service: string): readonly string[] | undefined => {
    const own = routes.filter((each) => each.service === service).map((each) => each.homes);
    return own.length === 0 || own.includes(undefined) ? undefined : [...new Set(own.flatMap((homes) => homes ?? []))];
  },

  /** @example Routes.table(policy.routes).get('a.example')?.get('/sheets/') */
  table: (routes: readonly Route[]): RouteTable => {
    const byHost = new Map<string, Map<string, Route>>();
    for (const each of routes) {
      const rows = byHost.get(each.host) ?? new Map<string, Route>();
      rows.set(each.path, each);
      byHost.set(each.host, rows);
    }
    return byHost;
  },

  /**
   * The route of a request: its host, and the longest prefix that ends where a path segment ends. Looks
   * up each such prefix, so that its cost follows the depth of the path and not the number of routes.
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
    for (let cut = path.lastIndexOf('/', longestPath); cut >= 0; cut = cut === 0 ? -1 : path.lastIndexOf('/', cut - 1)) {
      const found = rows.get(path.slice(0, cut + 1)) ?? rows.get(path.slice(0, cut));
      if (found !== undefined) return found;
    }
    return undefined;
  },
} as const;
