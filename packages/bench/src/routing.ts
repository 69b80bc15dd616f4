export {measureRouting} from './routing/measure-routing.js';
export {measureLimits} from './routing/measure-limits.js';
