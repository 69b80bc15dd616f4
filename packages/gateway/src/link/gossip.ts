import type {Random} from '@bitternpaddle/coordination';

/** Splits items into chunks of at most `size`. */
export const chunk = <Item>(items: readonly Item[], size: number): Item[][] => {
	const chunks: Item[][] = [];
	for (let from = 0; from < items.length; from += size) {
		chunks.push(items.slice(from, from + size));
	}

	return chunks;
};

/** Selects up to `count` distinct peers at random. */
export const samplePeers = (peers: readonly string[], count: number, random: Random): string[] => {
	const remaining = [...peers];
	const sampled: string[] = [];
	while (remaining.length > 0 && sampled.length < count) {
		sampled.push(...remaining.splice(random.between(0, remaining.length - 1), 1));
	}

	return sampled;
};
