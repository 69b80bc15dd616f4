import {setFlagsFromString} from 'node:v8';

/**
 * Without a bound, V8 doubles the young generation while the program loads and
 * leaves it at 16 MB or more: an idle agent or entry then holds more than the
 * 32 MB that a node may spend. V8 reads the factor each time it would grow, so
 * it works when set by the running process, but only before the program loads:
 * what has grown does not reliably shrink.
 */
export const keepYoungGenerationSmall = (): void => {
	setFlagsFromString('--semi-space-growth-factor=1');
};

/** For control, whose machines are its own: fewer collections while it parses and writes snapshots. */
export const letYoungGenerationGrow = (): void => {
	setFlagsFromString('--semi-space-growth-factor=2');
};
