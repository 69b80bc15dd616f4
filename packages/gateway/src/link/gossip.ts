import type {Random} from '@bitternpaddle/coordination';

/** Splits items into chunks of at most `size`. */
export const chunk = <Item>(items: readonly Item[], size: number): Item[][] => {
	const chunks: Item[][] = [];
	for (let from = 0; from < items.length; from += size) {
		chunks.push(items.slice(from, from + size));
	}

	return chunks;
};

/** Draws up to `count` distinct peers at random. */
export const drawPeers = (peers: readonly string[], count: number, random: Random): string[] => {
	const left = [...peers];
	const drawn: string[] = [];
	while (left.length > 0 && drawn.length < count) {
		drawn.push(...left.splice(random.between(0, left.length - 1), 1));
	}

	return drawn;
};
