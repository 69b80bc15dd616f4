export {measureRouting} from './routing/measure-routing.js';
