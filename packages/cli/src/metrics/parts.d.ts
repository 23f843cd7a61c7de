/**
 * Parts of prom-client that are loaded alone, since the whole of it holds ten
 * times the memory.
 */

declare module 'prom-client/lib/registry.js' {
  import { Registry } from 'prom-client'
  export default Registry
}

declare module 'prom-client/lib/counter.js' {
  import { Counter } from 'prom-client'
  export default Counter
}

declare module 'prom-client/lib/gauge.js' {
  import { Gauge } from 'prom-client'
  export default Gauge
}
