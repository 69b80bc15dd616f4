/** JSON with sorted keys, so that equal values give equal bytes regardless of the order of their properties. */
export const canonicalJson = (value: unknown): string => JSON.stringify(value, (_key, inner: unknown) => {
	if (inner === null || typeof inner !== 'object' || Array.isArray(inner)) {
		return inner;
	}

	const entries = Object.entries(inner).toSorted(([a], [b]) => (a < b ? -1 : 1));
	return Object.fromEntries(entries);
});
