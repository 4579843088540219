/** Removal from records that are never modified in place. */

/** A copy of a record without one key. */
export const omitKey = <T>(
  record: Readonly<Record<number | string, T>>,
  key: number | string,
): Readonly<Record<number | string, T>> => {
  const { [key]: _removed, ...remaining } = record;
  return remaining;
};
