/** Conditional and range requests on a buffered response (RFC 9110). */
import fresh from 'fresh';
import parseRange from 'range-parser';
import type { Headers } from '@reedyard/cache';

/** What a request receives of a complete response: a 304, a part of the body, or all of it. */
export type ConditionalResponse = {
  readonly status: number;
  readonly headers: Headers;
  /** First byte of the body that is sent. */
  readonly from: number;
  /** End of the part that is sent, exclusive. */
  readonly to: number;
};

const headerText = (headers: Headers, name: string): string | undefined => {
  const value = headers[name];
  return value === undefined ? undefined : typeof value === 'string' ? value : value.join(', ');
};

/**
 * Applies the conditional and range fields of a request to a complete response.
 *
 * @example
 * conditionalResponseOf('GET', { range: 'bytes=0-1' }, 200, { etag: '"a"' }, 10) // 206, bytes 0 to 2 of 10
 */
export const conditionalResponseOf = (
  method: string,
  requestHeaders: Headers,
  status: number,
  headers: Headers,
  size: number,
): ConditionalResponse => {
  const complete: ConditionalResponse = {
    status,
    headers: { ...headers, 'content-length': String(size) },
    from: 0,
    to: size,
  };
  if (status !== 200 || (method !== 'GET' && method !== 'HEAD')) return complete;
  const conditions = {
    'if-none-match': headerText(requestHeaders, 'if-none-match'),
    'if-modified-since': headerText(requestHeaders, 'if-modified-since'),
  };
  if (
    (conditions['if-none-match'] !== undefined || conditions['if-modified-since'] !== undefined) &&
    fresh(conditions, {
      etag: headerText(headers, 'etag'),
      'last-modified': headerText(headers, 'last-modified'),
    })
  ) {
    const { 'content-length': _length, 'content-type': _type, ...rest } = headers;
    return { status: 304, headers: rest, from: 0, to: 0 };
  }
  const range = headerText(requestHeaders, 'range');
  const ifRange = headerText(requestHeaders, 'if-range');
  if (
    method !== 'GET' ||
    range === undefined ||
    (ifRange !== undefined &&
      ifRange !== headerText(headers, 'etag') &&
      ifRange !== headerText(headers, 'last-modified'))
  )
    return complete;
  const ranges = parseRange(size, range);
  if (ranges === -1)
    return {
      status: 416,
      headers: { ...headers, 'content-range': `bytes */${size}`, 'content-length': '0' },
      from: 0,
      to: 0,
    };
  // RFC 9110 allows the complete response where several ranges are requested.
  if (ranges === -2 || ranges.type !== 'bytes' || ranges.length !== 1 || ranges[0] === undefined)
    return complete;
  const { start, end } = ranges[0];
  return {
    status: 206,
    headers: {
      ...headers,
      'content-range': `bytes ${start}-${end}/${size}`,
      'content-length': String(end - start + 1),
    },
    from: start,
    to: end + 1,
  };
};

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/**
 * Removes the origin id fields from a response whose status differs from the one that the origin
 * sent. An origin vouches for its own response alone; a successful one may be sent completely or in
 * part, with another successful status.
 *
 * @example
 * stripOriginIdFields(416, 200, { seal: 'a', etag: '"b"' }, ['seal']) // { etag: '"b"' }
 */
export const stripOriginIdFields = (
  status: number,
  originStatus: number | null,
  headers: Headers,
  originIdFields: readonly string[],
): Headers => {
  const isPartOfSuccess = originStatus !== null && isSuccess(originStatus) && isSuccess(status);
  if (status === originStatus || isPartOfSuccess) return headers;
  return Object.fromEntries(
    Object.entries(headers).filter(([name]) => !originIdFields.includes(name)),
  );
};
