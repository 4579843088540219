import { Routes, type Policy, type Route, type RouteTable } from '@reedyard/schemas';
import type { Entry, Wrong } from './history.js';

type Of<K extends Entry['kind']> = Extract<Entry, { kind: K }>;
const only = <K extends Entry['kind']>(history: readonly Entry[], kind: K): readonly Of<K>[] =>
  history.filter((entry): entry is Of<K> => entry.kind === kind);

const groupBy = <T>(
  list: readonly T[],
  key: (each: T) => string,
): ReadonlyMap<string, readonly T[]> => {
  const groups = new Map<string, T[]>();
  for (const each of list) {
    const group = groups.get(key(each));
    if (group === undefined) groups.set(key(each), [each]);
    else group.push(each);
  }
  return groups;
};

/**
 * ms from the word of an instance that it carries less until it gets no more than that; the word
 * goes by gossip.
 */
const spread = 3_000;

/** ms from an acknowledgement until what it takes away must be gone. */
const grace = 2_000;

/** A policy, and the span in which a node may act under it. */
type Span = {
  readonly from: number;
  readonly until: number;
  readonly document: Policy;
  readonly routes: RouteTable;
  readonly found: Map<string, Route | undefined>;
};

/** The route of a request under one policy, looked up once. */
const routeIn = (
  span: Span,
  { host, target }: { readonly host: string; readonly target: string },
): Route | undefined => {
  const key = `${host}${target}`;
  if (!span.found.has(key)) span.found.set(key, Routes.find(span.routes, host, target));
  return span.found.get(key);
};

const spansBy = new WeakMap<readonly Entry[], readonly Span[]>();

/**
 * When each policy may have been in force: from its first sending until 2 s after a newer one was
 * acknowledged. One that was never acknowledged may be in force at any time after its sending.
 */
const spans = (history: readonly Entry[]): readonly Span[] => {
  const known = spansBy.get(history);
  if (known !== undefined) return known;
  const puts = only(history, 'put');
  const made = only(history, 'proposed').map((proposed) => {
    const put = puts.find((each) => each.changeId === proposed.changeId);
    const newer =
      put === undefined
        ? []
        : puts.filter((each) => each.revision > put.revision).map((each) => each.at);
    return {
      from: proposed.at,
      until: Math.min(Infinity, ...newer) + grace,
      document: proposed.document,
      routes: Routes.table(proposed.document.routes),
      found: new Map(),
    };
  });
  spansBy.set(history, made);
  return made;
};

const during = (history: readonly Entry[], from: number, to: number = from): readonly Span[] =>
  spans(history).filter((span) => span.from <= to && span.until >= from);

/**
 * Requests that the highest of some rates, each in force for a span, lets through between two
 * moments.
 */
const integral = (
  list: readonly { readonly from: number; readonly until: number; readonly rate: number }[],
  from: number,
  to: number,
): number => {
  const cuts = [...new Set([from, to, ...list.flatMap((each) => [each.from, each.until])])]
    .filter((at) => at >= from && at <= to)
    .sort((a, b) => a - b);
  return cuts.slice(1).reduce((sum, end, index) => {
    const begin = cuts[index] ?? from;
    return (
      sum +
      (Math.max(
        0,
        ...list.filter((each) => each.from < end && each.until > begin).map((each) => each.rate),
      ) *
        (end - begin)) /
        1_000
    );
  }, 0);
};

/** The most that policies in force between two moments let through, in requests. */
const allowance = (
  history: readonly Entry[],
  of: (policy: Policy) => number,
  from: number,
  to: number,
): number =>
  integral(
    during(history, from, to).map((span) => ({
      from: span.from,
      until: span.until,
      rate: of(span.document),
    })),
    from,
    to,
  );

/** Windows of 5 s that hold more than `share` of what is allowed in them. */
const overloads = (
  times: readonly number[],
  allowed: (from: number, to: number) => number,
  share: number,
): readonly { readonly at: number; readonly most: number; readonly limit: number }[] => {
  let from = 0;
  return times.flatMap((at, index) => {
    while ((times[from] ?? 0) <= at - 5_000) from += 1;
    const most = index - from + 1;
    const limit = share * allowed(at - 5_000, at);
    return most > limit ? [{ at, most, limit }] : [];
  });
};

/** The checkers, one for each point of the brief's "What must never happen". */
export const Checks: Readonly<Record<number, (history: readonly Entry[]) => readonly Wrong[]>> = {
  // 1. A handover confirmation or work order runs twice.
  1: (history) => [
    ...[...groupBy(only(history, 'ran'), (entry) => entry.job)].flatMap(([job, runs]) =>
      runs.length > 1
        ? [{ rule: 1, at: runs[1]?.at ?? 0, what: `${job} ran ${runs.length} times` }]
        : [],
    ),
    ...[
      ...groupBy(
        only(history, 'ran').filter((entry) => entry.key !== null),
        (entry) => entry.key ?? '',
      ),
    ].flatMap(([key, runs]) =>
      new Set(runs.map((run) => run.job)).size > 1
        ? [
            {
              rule: 1,
              at: runs[1]?.at ?? 0,
              what: `key ${key} ran for ${runs.map((run) => run.job).join(' and ')}`,
            },
          ]
        : [],
    ),
  ],

  // 2. Told that a request was turned away when it actually ran.
  2: (history) => {
    const ran = new Set(only(history, 'ran').map((entry) => entry.submission));
    return only(history, 'got').flatMap((entry) => {
      if (entry.method === 'POST' && entry.outcome === 'not-run' && ran.has(entry.submission))
        return [
          {
            rule: 2,
            at: entry.at,
            what: `${entry.job} was told not-run (${entry.status}) but ran`,
          },
        ];
      if (entry.status === 503 && entry.outcome !== 'not-run')
        return [{ rule: 2, at: entry.at, what: `a 503 that does not say not-run: ${entry.why}` }];
      return entry.status >= 502 && entry.status <= 504 && !entry.retryAfter
        ? [{ rule: 2, at: entry.at, what: `a ${entry.status} that does not say when to come back` }]
        : [];
    });
  },

  // 3. A success without stamp and whole body, or attached to another request.
  3: (history) =>
    only(history, 'got').flatMap((entry) => {
      if (entry.status < 200 || entry.status > 299) return [];
      const fault = !entry.whole
        ? 'not whole'
        : entry.body === null
          ? 'no body'
          : !entry.stamp.startsWith(`${entry.body.service}/`)
            ? `stamp "${entry.stamp}" on a body of ${entry.body.service}`
            : entry.body.target !== entry.target
              ? `the body of ${entry.body.target}`
              : entry.method === 'POST' && entry.body.job !== entry.job
                ? `the answer to ${entry.body.job}`
                : null;
      return fault === null
        ? []
        : [{ rule: 3, at: entry.at, what: `${entry.method} ${entry.target}: ${fault}` }];
    }),

  // 4. A request reaches a service that no policy in force allowed, also at a reused address.
  4: (history) =>
    only(history, 'attempt').flatMap((entry): readonly Wrong[] => {
      const me = `${entry.service}/${entry.instance}/${entry.incarnation}`;
      if (entry.expected !== me)
        return [{ rule: 4, at: entry.at, what: `an attempt for ${entry.expected} reached ${me}` }];
      const allows = (span: Span): boolean => {
        const route = routeIn(span, entry);
        const service = span.document.services[entry.service];
        return (
          route !== undefined &&
          Routes.allows(route, entry.service) &&
          service !== undefined &&
          (service.instances === undefined || service.instances.includes(entry.instance)) &&
          (route.methods as readonly string[]).includes(entry.method)
        );
      };
      return during(history, entry.at).some(allows)
        ? []
        : [
            {
              rule: 4,
              at: entry.at,
              what: `${entry.method} ${entry.target} reached ${me}, which no policy in force allowed`,
            },
          ];
    }),

  // 5. A policy not in force 2 s after it was acknowledged, or a node falls back to an older one.
  5: (history) => {
    const puts = only(history, 'put');
    const askedAt = new Map(only(history, 'asked').map((entry) => [entry.submission, entry.at]));
    const highest = new Map<string, number>();
    const lateAnswers = only(history, 'got').flatMap((entry): readonly Wrong[] => {
      const asked = askedAt.get(entry.submission);
      if (entry.status < 200 || entry.status > 299 || asked === undefined) return [];
      const known = during(history, asked, entry.at).some((span) => {
        const route = routeIn(span, entry);
        return (
          route !== undefined &&
          Routes.services(route).some(({ service }) => entry.stamp.startsWith(`${service}/`))
        );
      });
      return known
        ? []
        : [
            {
              rule: 5,
              at: entry.at,
              what: `${entry.method} ${entry.target} was answered by ${entry.stamp} although no policy in force since it was asked has such a route`,
            },
          ];
    });
    return [
      ...lateAnswers,
      ...only(history, 'acted').flatMap((entry) => {
        const due = puts.reduce(
          (best, put) => (put.at <= entry.at - 2_000 ? Math.max(best, put.revision) : best),
          0,
        );
        const before = highest.get(entry.node) ?? 0;
        highest.set(entry.node, Math.max(before, entry.revision));
        if (entry.revision < due)
          return [
            {
              rule: 5,
              at: entry.at,
              what: `${entry.node} acted under ${entry.revision} although ${due} was acknowledged over 2 s before`,
            },
          ];
        return entry.revision < before
          ? [
              {
                rule: 5,
                at: entry.at,
                what: `${entry.node} fell back from ${before} to ${entry.revision}`,
              },
            ]
          : [];
      }),
    ];
  },

  // 6. The policy read back is older than the newest acknowledged one; and two acknowledged ones
  // never share a revision.
  6: (history) => {
    const puts = only(history, 'put');
    const twins = [...groupBy(puts, (put) => String(put.revision))].flatMap(([revision, list]) =>
      new Set(list.map((put) => JSON.stringify(put.document))).size > 1
        ? [
            {
              rule: 6,
              at: list[1]?.at ?? 0,
              what: `two policies were acknowledged under revision ${revision}`,
            },
          ]
        : [],
    );
    return [
      ...twins,
      ...only(history, 'read').flatMap((entry) => {
        const due = puts.reduce(
          (best, put) => (put.at <= entry.askedAt ? Math.max(best, put.revision) : best),
          0,
        );
        return entry.revision < due
          ? [
              {
                rule: 6,
                at: entry.at,
                what: `read ${entry.revision} although ${due} was acknowledged`,
              },
            ]
          : [];
      }),
    ];
  },

  // 7. A draining origin gets new work more than 2 s after its notice.
  7: (history) => {
    const notices = only(history, 'drained');
    return only(history, 'attempt').flatMap((entry) => {
      const notice = notices.find(
        (each) =>
          each.instance === entry.instance &&
          each.incarnation === entry.incarnation &&
          entry.at > each.at + 2_000,
      );
      return notice === undefined
        ? []
        : [
            {
              rule: 7,
              at: entry.at,
              what: `${entry.instance} got work ${Math.round(entry.at - notice.at)} ms after its notice`,
            },
          ];
    });
  },

  // 8. An emptied zone gets requests more than 5 s after the order.
  8: (history) => {
    const orders = only(history, 'zone');
    // The order with the highest revision holds, however late the word of an earlier one came; and
    // a zone may be used again from the moment that its taking back was sent.
    const emptiedAt = (zone: string, at: number): number | null => {
      const known = orders.filter(
        (order) => order.zone === zone && (order.order === 'empty' ? order.at : order.sentAt) <= at,
      );
      const last = known.reduce<Of<'zone'> | null>(
        (best, order) => (best === null || order.revision > best.revision ? order : best),
        null,
      );
      return last !== null && last.order === 'empty' ? last.at : null;
    };
    return history.flatMap((entry): readonly Wrong[] => {
      if (entry.kind !== 'asked' && entry.kind !== 'attempt' && entry.kind !== 'relay') return [];
      const since = emptiedAt(entry.zone, entry.at);
      return since !== null && entry.at > since + 5_000
        ? [
            {
              rule: 8,
              at: entry.at,
              what: `${entry.zone} got ${entry.kind === 'asked' ? 'a caller' : entry.kind === 'relay' ? 'a forwarded request' : 'an attempt'} ${Math.round(entry.at - since)} ms after the order`,
            },
          ]
        : [];
    });
  },

  // 9. A purged object served 2 s after, or a copy that outlives its life by more than 2 s.
  9: (history) => {
    const purges = only(history, 'purged');
    return only(history, 'got').flatMap((entry): readonly Wrong[] => {
      if (entry.status !== 200 || entry.body === null || entry.method !== 'GET') return [];
      const { body } = entry;
      const old = purges.find(
        (purge) =>
          entry.at > purge.at + 2_000 &&
          body.sentAt < purge.turned &&
          (purge.objects.some((object) => object.endsWith(body.target)) ||
            purge.tags.some((tag) => body.tags.includes(tag))),
      );
      if (old !== undefined)
        return [
          {
            rule: 9,
            at: entry.at,
            what: `${body.target} sent at ${Math.round(body.sentAt)} served ${Math.round(entry.at - old.at)} ms after its purge`,
          },
        ];
      // A copy lives as long as its origin says, and at most as long as a route in force keeps it.
      const keeps = during(history, entry.at).map((span) => {
        const route = routeIn(span, entry);
        return route === undefined || route.cache.keep === 'never'
          ? 0
          : 1_000 * (route.cache.mostSeconds ?? Infinity);
      });
      const over =
        entry.at -
        body.madeAt -
        Math.min(body.maxAgeMs, entry.copied ? Math.max(0, ...keeps) : Infinity);
      return over > 2_000
        ? [
            {
              rule: 9,
              at: entry.at,
              what: `${body.target} outlived its life by ${Math.round(over)} ms`,
            },
          ]
        : [];
    });
  },

  // 10. A service gets over a tenth above its ceiling in any 5 s; a cold origin over 1.5 times its
  // rate.
  10: (history) => {
    const attempts = only(history, 'attempt');
    const over = (
      list: readonly Of<'attempt'>[],
      what: string,
      allowed: (from: number, to: number) => number,
      share: number,
    ): readonly Wrong[] =>
      overloads(
        list.map((attempt) => attempt.at),
        allowed,
        share,
      )
        .slice(0, 1)
        .map(({ at, most, limit }) => ({
          rule: 10,
          at,
          what: `${what} got ${most} in 5 s; ${limit.toFixed(0)} are allowed`,
        }));
    const services = [...groupBy(attempts, (attempt) => attempt.service)].flatMap(
      ([service, list]) =>
        over(
          list,
          service,
          (from, to) =>
            allowance(
              history,
              (policy) =>
                policy.services[service] === undefined
                  ? 0
                  : (policy.services[service]?.ceiling ?? Infinity),
              from,
              to,
            ),
          1.1,
        ),
    );
    const cold = [
      ...groupBy(
        attempts.filter((attempt) => attempt.cold),
        (attempt) => `${attempt.service}/${attempt.instance}/${attempt.incarnation}`,
      ),
    ].flatMap(([name, list]) =>
      over(
        list,
        `cold ${name}`,
        (from, to) =>
          allowance(
            history,
            (policy) => {
              const service = policy.services[list[0]?.service ?? ''];
              return service === undefined ? 0 : (service.coldRate ?? Infinity);
            },
            from,
            to,
          ),
        1.5,
      ),
    );
    const told = groupBy(
      only(history, 'carries'),
      (entry) => `${entry.service}/${entry.instance}/${entry.incarnation}`,
    );
    const instances = [
      ...groupBy(
        attempts,
        (attempt) => `${attempt.service}/${attempt.instance}/${attempt.incarnation}`,
      ),
    ].flatMap(([name, list]) => {
      const words = told.get(name) ?? [];
      const until = (index: number): number => (words[index + 1]?.at ?? Infinity) + spread;
      return over(
        list,
        name,
        (from, to) =>
          integral(
            words.map((word, index) => ({
              from: index === 0 ? -Infinity : word.sentAt,
              until: until(index),
              rate: word.capacity,
            })),
            from,
            to,
          ),
        1.1,
      );
    });
    return [...services, ...cold, ...instances];
  },

  // 11. Repeats exceed a fifth of traffic plus 60 in any 10 s.
  11: (history) => {
    const asked = only(history, 'asked').map((entry) => entry.at);
    const repeats = only(history, 'repeat').map((entry) => entry.at);
    let from = 0;
    return repeats
      .flatMap((at, index) => {
        while ((repeats[from] ?? 0) <= at - 10_000) from += 1;
        const traffic = asked.filter((time) => time > at - 10_000 && time <= at).length;
        const most = 0.2 * traffic + 60;
        return index - from + 1 > most
          ? [{ rule: 11, at, what: `${index - from + 1} repeats in 10 s for ${traffic} requests` }]
          : [];
      })
      .slice(0, 5);
  },

  // 12. A report with home regions is fetched or stored outside those of every policy in force.
  12: (history) =>
    history.flatMap((entry): readonly Wrong[] => {
      if (entry.kind !== 'attempt' && entry.kind !== 'stored') return [];
      const routes = during(history, entry.at).flatMap((span): readonly Route[] => {
        const route = routeIn(span, entry);
        return route === undefined ? [] : [route];
      });
      // Without a route there are no homes to keep to; that is rule 4's.
      if (
        routes.length === 0 ||
        routes.some(({ homes }) => homes === undefined || homes.includes(entry.region))
      )
        return [];
      return [
        {
          rule: 12,
          at: entry.at,
          what: `${entry.target} was ${entry.kind === 'attempt' ? 'fetched' : 'stored'} in ${entry.region}`,
        },
      ];
    }),

  // 13. After a full loss little is served 15 s after the machines return.
  13: (history) => {
    const back = only(history, 'fault').find(
      (entry) => entry.what === 'all machines back' || entry.what === 'served again from here',
    );
    if (back === undefined) return [];
    const asked = new Set(
      only(history, 'asked')
        .filter((entry) => entry.at > back.at + 15_000)
        .map((entry) => entry.submission),
    );
    // What the policy now has no route for is not to be served.
    only(history, 'got').forEach((entry) => {
      if (entry.status === 404) asked.delete(entry.submission);
    });
    const good = only(history, 'got').filter(
      (entry) =>
        asked.has(entry.submission) &&
        ((entry.status >= 200 && entry.status < 300) || entry.status === 409),
    ).length;
    const all =
      asked.size + only(history, 'unplaced').filter((entry) => entry.at > back.at + 15_000).length;
    return all === 0 || good < 0.9 * all
      ? [
          {
            rule: 13,
            at: back.at + 15_000,
            what: `${good} of ${all} served 15 s after the machines returned`,
          },
        ]
      : [];
  },

  // 14. One request runs at more origins than its route allows, summed over all nodes.
  14: (history) =>
    [
      ...groupBy(
        only(history, 'attempt').filter((attempt) => attempt.submission >= 0),
        (attempt) => String(attempt.submission),
      ),
    ].flatMap(([submission, attempts]): readonly Wrong[] => {
      const origins = new Set(
        attempts.map((attempt) => `${attempt.service}/${attempt.instance}/${attempt.incarnation}`),
      );
      const most = mostAttempts(history, attempts);
      return origins.size > most
        ? [
            {
              rule: 14,
              at: attempts.at(-1)?.at ?? 0,
              what: `request ${submission} ran at ${origins.size} origins; ${most} are allowed`,
            },
          ]
        : [];
    }),
};

/**
 * The most origins that one request may be sent to, by any policy in force while it was under way.
 */
const mostAttempts = (history: readonly Entry[], attempts: readonly Of<'attempt'>[]): number => {
  const [first, last] = [attempts[0], attempts.at(-1)];
  if (first === undefined || last === undefined) return Infinity;
  return Math.max(
    ...during(history, first.at, last.at).map(
      (span) => routeIn(span, first)?.limits.attempts ?? Infinity,
    ),
  );
};

/** What is left to judge once all state was lost for good: nothing from before may come back. */
const sinceLoss = (history: readonly Entry[]): readonly Entry[] => {
  const lost = history.findLastIndex(
    (entry) => entry.kind === 'fault' && entry.what === 'all state lost',
  );
  const lostAt = history[lost]?.at ?? 0;
  // What was on its way to an origin at that moment belongs to before.
  return lost < 0
    ? history
    : history.filter(
        (entry, index) =>
          (index >= lost && !(entry.kind === 'attempt' && entry.at < lostAt + 100)) ||
          entry.kind === 'carries',
      );
};

/** All that was wrong in a run, a few of each rule. */
export const judge = (
  history: readonly Entry[],
  rules: readonly number[] = Object.keys(Checks).map(Number),
): readonly Wrong[] =>
  rules.flatMap((rule) =>
    (Checks[rule]?.([1, 2, 3].includes(rule) ? history : sinceLoss(history)) ?? []).slice(0, 3),
  );

/** Of what callers asked in a span, the share that was served, and what became of the rest. */
export const available = (
  history: readonly Entry[],
  from = 0,
  to = Infinity,
): {
  readonly asked: number;
  readonly share: number;
  readonly rest: Readonly<Record<string, number>>;
} => {
  const asked = new Set(
    only(history, 'asked')
      .filter((entry) => entry.at >= from && entry.at < to)
      .map((entry) => entry.submission),
  );
  const got = only(history, 'got').filter((entry) => asked.has(entry.submission));
  const rest: Record<string, number> = {};
  let good = 0;
  for (const entry of got) {
    // A key used before is answered as it should be: 409 for the same request, 422 for another.
    if ((entry.status >= 200 && entry.status < 300) || entry.status === 409 || entry.status === 422)
      good += 1;
    else {
      const what = `${entry.status} ${entry.outcome}${entry.why === '' ? '' : `: ${entry.why}`}`;
      rest[what] = (rest[what] ?? 0) + 1;
    }
  }
  const unplaced = only(history, 'unplaced').filter(
    (entry) => entry.at >= from && entry.at < to,
  ).length;
  if (unplaced > 0) rest['no ready node'] = unplaced;
  const all = asked.size + unplaced;
  return { asked: all, share: all === 0 ? 1 : good / all, rest };
};
