/** JSON with sorted keys, so that equal values are equal bytes whatever order they were built in. */
export const canonicalJson = (value: unknown): string => JSON.stringify(value, (_key, inner: unknown) => {
	if (inner === null || typeof inner !== 'object' || Array.isArray(inner)) {
		return inner;
	}

	const entries = Object.entries(inner).toSorted(([a], [b]) => (a < b ? -1 : 1));
	return Object.fromEntries(entries);
});
