import {setFlagsFromString} from 'node:v8';

/**
 * Without a limit, V8 doubles the young generation while the program loads and
 * leaves it at 16 MB or more: an idle agent or entry then uses more than its
 * budget of 32 MB per node. V8 reads the factor each time it would grow the
 * young generation, so it can be set by the running process, but only before
 * the program loads: a young generation that has grown does not reliably shrink.
 */
export const keepYoungGenerationSmall = (): void => {
	setFlagsFromString('--semi-space-growth-factor=1');
};

/** For control, which runs on machines of its own: fewer garbage collections while it parses and writes snapshots. */
export const letYoungGenerationGrow = (): void => {
	setFlagsFromString('--semi-space-growth-factor=2');
};
