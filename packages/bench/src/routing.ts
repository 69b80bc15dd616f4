export {measureEndpointLimits} from './routing/measure-endpoint-limits.js';
export {measureRouting} from './routing/measure-routing.js';
export {measureLimits} from './routing/measure-limits.js';
