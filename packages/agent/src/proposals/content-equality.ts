/** Compares parsed documents by content. */

type JsonObject = Readonly<Record<string, unknown>>;

const isObject = (value: unknown): value is JsonObject =>
  typeof value === 'object' && value !== null;

/** The names of an object's fields, except undefined fields, which are not serialized. */
const fieldsOf = (object: JsonObject): readonly string[] =>
  Object.keys(object).filter((field) => object[field] !== undefined);

/**
 * Whether two parsed documents have the same content. The order of an object's fields and undefined
 * fields are ignored; the order of a list is not.
 *
 * @example
 * hasSameContent({ version: 7, routes: [] }, { routes: [], version: 7 }) // true
 */
export const hasSameContent = (left: unknown, right: unknown): boolean => {
  if (Object.is(left, right)) return true;
  if (!isObject(left) || !isObject(right)) return false;
  if (Array.isArray(left) !== Array.isArray(right)) return false;
  const fields = fieldsOf(left);
  if (fields.length !== fieldsOf(right).length) return false;
  return fields.every(
    (field) => Object.hasOwn(right, field) && hasSameContent(left[field], right[field]),
  );
};
