/** Configuration documents from templates and overlays. */

import jsonMergePatch from 'json-merge-patch';
import parseTemplate from 'json-templates';
import { CodedError } from '@reedyard/logging';

/** Thrown for parameters that don't fit a template or can't be read. */
export class TemplateError extends CodedError {}

const clone = (value: unknown): unknown => JSON.parse(JSON.stringify(value)) as unknown;

/**
 * Turns a list of routes into an object by route name. An overlay may give the routes as such an
 * object to change, add or (with null) remove single routes instead of replacing the list.
 */
const indexByName = (list: unknown): unknown =>
  Array.isArray(list)
    ? Object.fromEntries(
        list.map((item: { name?: string }, index) => [item.name ?? String(index), item]),
      )
    : list;

/**
 * Resolves a template. Substitutes the parameters first (`{{name}}` or `{{name:default}}`; a value
 * that is a single placeholder keeps the parameter's type), then applies the overlays in order as
 * JSON merge patches (RFC 7396).
 *
 * @example
 * resolveTemplate({ services: { store: { ceiling: '{{ceiling:400}}' } } }, { ceiling: 90 }, [{ services: { store: { coldRate: 5 } } }])
 * // { services: { store: { ceiling: 90, coldRate: 5 } } }
 */
export const resolveTemplate = (
  template: unknown,
  parameters: Readonly<Record<string, unknown>>,
  overlays: readonly unknown[],
): unknown => {
  const parsed = parseTemplate(template);
  const missing = parsed.parameters
    .filter(({ key, defaultValue }) => parameters[key] === undefined && defaultValue === undefined)
    .map(({ key }) => key);
  if (missing.length > 0)
    throw new TemplateError('parameters', `parameters without a value: ${missing.join(', ')}`);
  const unused = Object.keys(parameters).filter(
    (key) => !parsed.parameters.some((parameter) => parameter.key === key),
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
              parseJsonOrText(
                typeof defaultValue === 'string' ? defaultValue : JSON.stringify(defaultValue),
              ),
            ],
          ],
    ),
  );
  return overlays.reduce<unknown>(
    (document, overlay) => {
      const routes = (overlay as { routes?: unknown }).routes;
      if (routes === undefined || Array.isArray(routes))
        return jsonMergePatch.apply(clone(document), clone(overlay));
      const merged = jsonMergePatch.apply(
        {
          ...(clone(document) as object),
          routes: indexByName((document as { routes?: unknown }).routes),
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

const parseJsonOrText = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return text;
  }
};

/**
 * Parses `NAME=VALUE` pairs; a value that is valid JSON keeps its type.
 *
 * @example
 * parseParameters(['ceiling=90']) // { ceiling: 90 }
 */
export const parseParameters = (pairs: readonly string[]): Readonly<Record<string, unknown>> =>
  Object.fromEntries(
    pairs.map((pair) => {
      const equals = pair.indexOf('=');
      if (equals < 1) throw new TemplateError('parameters', `found "${pair}"; expected NAME=VALUE`);
      return [pair.slice(0, equals), parseJsonOrText(pair.slice(equals + 1))];
    }),
  );
