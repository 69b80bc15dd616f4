/** Map from names (of services or routes) to values that are created on first access. */
export type LazyMap<Value> = {
	of(name: string): Value;
	entries(): Array<[string, Value]>;
	/** Removes the values of all other names. */
	retainOnly(names: readonly string[]): void;
};

export const createLazyMap = <Value>(create: () => Value): LazyMap<Value> => {
	const known = new Map<string, Value>();
	return {
		of(name) {
			const value = known.get(name) ?? create();
			known.set(name, value);
			return value;
		},
		entries: () => [...known],
		retainOnly(names) {
			const retained = new Set(names);
			for (const name of known.keys()) {
				if (!retained.has(name)) {
					known.delete(name);
				}
			}
		},
	};
};
