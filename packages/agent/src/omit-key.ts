/** Tables that are never changed in place. */

/** A table without one key. */
export const omitKey = <T>(
  table: Readonly<Record<number | string, T>>,
  key: number | string,
): Readonly<Record<number | string, T>> => {
  const { [key]: _gone, ...rest } = table;
  return rest;
};
