import {createHash} from 'node:crypto';
import {canonicalJson} from './canonical-json.js';

/** SHA-256 of the canonical JSON, in hexadecimal; equal values give equal digests on every host. */
export const digestOf = (value: unknown): string => createHash('sha256').update(canonicalJson(value)).digest('hex');
