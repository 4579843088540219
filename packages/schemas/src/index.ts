/** Schemas and validation of the documents that operators and origins send. */
export {
  type OriginDescription,
  type DocumentFault,
  type Policy,
  type Purge,
  type Route,
  Routes,
  type RouteTable,
  SchemaError,
  Schemas,
  type Service,
  type WeightedService,
  type ZoneOrder,
} from './schemas.js';
