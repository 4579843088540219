/** How a kept object answers a request: complete, a part of it, or not modified (RFC 9110). */
import fresh from 'fresh';
import parseRange from 'range-parser';
import type { Headers } from '@reedyard/cache';

/** How a whole answer is shown to one caller: a 304, a part, or all of it. */
export type ConditionalResponse = {
  readonly status: number;
  readonly headers: Headers;
  readonly from: number;
  readonly to: number;
};

const text = (headers: Headers, name: string): string | undefined => {
  const value = headers[name];
  return value === undefined ? undefined : typeof value === 'string' ? value : value.join(', ');
};

/**
 * Conditional and range requests over an answer that is there whole.
 *
 * @example
 * present('GET', { range: 'bytes=0-1' }, 200, { etag: '"a"' }, 10) // 206, bytes 0 to 2 of 10
 */
export const conditionalResponseOf = (
  method: string,
  asked: Headers,
  status: number,
  headers: Headers,
  size: number,
): ConditionalResponse => {
  const whole: ConditionalResponse = {
    status,
    headers: { ...headers, 'content-length': String(size) },
    from: 0,
    to: size,
  };
  if (status !== 200 || (method !== 'GET' && method !== 'HEAD')) return whole;
  const conditions = {
    'if-none-match': text(asked, 'if-none-match'),
    'if-modified-since': text(asked, 'if-modified-since'),
  };
  if (
    (conditions['if-none-match'] !== undefined || conditions['if-modified-since'] !== undefined) &&
    fresh(conditions, {
      etag: text(headers, 'etag'),
      'last-modified': text(headers, 'last-modified'),
    })
  ) {
    const { 'content-length': _length, 'content-type': _type, ...rest } = headers;
    return { status: 304, headers: rest, from: 0, to: 0 };
  }
  const range = text(asked, 'range');
  const ifRange = text(asked, 'if-range');
  if (
    method !== 'GET' ||
    range === undefined ||
    (ifRange !== undefined &&
      ifRange !== text(headers, 'etag') &&
      ifRange !== text(headers, 'last-modified'))
  )
    return whole;
  const ranges = parseRange(size, range);
  if (ranges === -1)
    return {
      status: 416,
      headers: { ...headers, 'content-range': `bytes */${size}`, 'content-length': '0' },
      from: 0,
      to: 0,
    };
  // Several ranges may be answered by the whole.
  if (ranges === -2 || ranges.type !== 'bytes' || ranges.length !== 1 || ranges[0] === undefined)
    return whole;
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
 * Header fields without the origin's stamps where it gave another status than is shown: it vouches
 * for its own answer, of which a success may be shown whole or in part, and for no other one.
 *
 * @example
 * stamped(416, 200, { seal: 'a', etag: '"b"' }, ['seal']) // { etag: '"b"' }
 */
export const stripOriginIdFields = (
  status: number,
  originStatus: number | null,
  headers: Headers,
  stamps: readonly string[],
): Headers => {
  const parts = originStatus !== null && isSuccess(originStatus) && isSuccess(status);
  if (status === originStatus || parts) return headers;
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !stamps.includes(name)));
};
