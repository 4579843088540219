/** The example deployments that tests run on. */

/** A machine of a deployment; `capacityBps` limits what its proxy serves, in bits per second. */
export type Machine = {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly kind: 'front' | 'store' | 'core';
  readonly capacityBps?: number;
};
/** An origin; `capacity` in requests per second, `maxAge` of its responses in seconds. */
export type Origin = {
  readonly service: string;
  readonly instance: string;
  readonly zone: string;
  readonly region: string;
  readonly capacity: number;
  readonly maxAge?: number;
};

/** A named set of machines and origins, as the examples describe it. */
export type Deployment = {
  readonly name: string;
  readonly machines: readonly Machine[];
  readonly origins: readonly Origin[];
};
