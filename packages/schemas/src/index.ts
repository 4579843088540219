/** Documents of operators and origins: their forms, and how they are checked. */
export {
  type Description as OriginDescription,
  type Fault as DocumentFault,
  type Policy,
  type Purge,
  type Route,
  Routes,
  type RouteTable,
  SchemaError,
  Schemas,
  type Service,
  type Weighted as WeightedService,
  type ZoneOrder,
} from './schemas.js';
