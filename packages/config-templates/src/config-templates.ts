/** Configuration documents from templates and overlays. */

import patches from 'json-merge-patch';
import parse from 'json-templates';
import { CodedError } from '@reedyard/logging';

/** A template that can't be resolved. */
export class TemplateError extends CodedError {}

const clone = (value: unknown): unknown => JSON.parse(JSON.stringify(value)) as unknown;

/**
 * A list in a policy is a list of named things; in an overlay it may be written as an object by
 * name, which then changes, adds (or with null removes) single ones instead of the whole list.
 */
const byName = (list: unknown): unknown =>
  Array.isArray(list)
    ? Object.fromEntries(
        list.map((each: { name?: string }, index) => [each.name ?? String(index), each]),
      )
    : list;

/**
 * Resolves a template: parameters first (`{{name}}` or `{{name:default}}`; a value that is one
 * placeholder keeps the parameter's type), then overlays in order, as JSON merge patches (RFC
 * 7396).
 *
 * @example
 * resolve({ services: { store: { ceiling: '{{ceiling:400}}' } } }, { ceiling: 90 }, [{ services: { store: { coldRate: 5 } } }])
 * // { services: { store: { ceiling: 90, coldRate: 5 } } }
 */
export const resolve = (
  template: unknown,
  parameters: Readonly<Record<string, unknown>>,
  overlays: readonly unknown[],
): unknown => {
  const parsed = parse(template);
  const lacking = parsed.parameters
    .filter(({ key, defaultValue }) => parameters[key] === undefined && defaultValue === undefined)
    .map(({ key }) => key);
  if (lacking.length > 0)
    throw new TemplateError('parameters', `parameters without a value: ${lacking.join(', ')}`);
  const unused = Object.keys(parameters).filter(
    (key) => !parsed.parameters.some((each) => each.key === key),
  );
  if (unused.length > 0)
    throw new TemplateError('parameters', `the template has no parameter ${unused.join(', ')}`);
  const defaults = Object.fromEntries(
    parsed.parameters.flatMap(({ key, defaultValue }) =>
      defaultValue === undefined
        ? []
        : [
            [
              key,
              typed(typeof defaultValue === 'string' ? defaultValue : JSON.stringify(defaultValue)),
            ],
          ],
    ),
  );
  return overlays.reduce<unknown>(
    (document, overlay) => {
      const routes = (overlay as { routes?: unknown }).routes;
      if (routes === undefined || Array.isArray(routes))
        return patches.apply(clone(document), clone(overlay));
      const merged = patches.apply(
        {
          ...(clone(document) as object),
          routes: byName((document as { routes?: unknown }).routes),
        },
        clone(overlay),
      ) as { routes: Record<string, object> };
      return {
        ...merged,
        routes: Object.entries(merged.routes).map(([name, route]) => ({ name, ...route })),
      };
    },
    parsed({ ...defaults, ...parameters }),
  );
};

const typed = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return text;
  }
};

/** Parameters from `name=value` pairs; a value that reads as JSON keeps its type. @example parametersOf(['ceiling=90']) // { ceiling: 90 } */
export const parametersOf = (pairs: readonly string[]): Readonly<Record<string, unknown>> =>
  Object.fromEntries(
    pairs.map((pair) => {
      const cut = pair.indexOf('=');
      if (cut < 1) throw new TemplateError('parameters', `found "${pair}"; wanted NAME=VALUE`);
      return [pair.slice(0, cut), typed(pair.slice(cut + 1))];
    }),
  );
