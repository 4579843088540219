/** Documents of operators and origins: their forms, and how they are checked. */
export {
  type Description,
  type Fault,
  type Policy,
  type Purge,
  type Route,
  Routes,
  type RouteTable,
  SchemaError,
  Schemas,
  type Service,
  type Weighted,
  type ZoneOrder,
} from './schemas.js';
