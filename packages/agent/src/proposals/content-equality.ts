/** Whether two parsed documents say the same. */

type Tree = Readonly<Record<string, unknown>>;

const isObject = (value: unknown): value is Tree => typeof value === 'object' && value !== null;

/** The fields of an object that have a value: one that is undefined is not sent. */
const fieldsOf = (tree: Tree): readonly string[] =>
  Object.keys(tree).filter((field) => tree[field] !== undefined);

/**
 * Compares by content: the order of an object's fields and fields without a value make no
 * difference, the order of a list does.
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
