/** What is kept for each name: of a service, or of a route. */
export type ByName<Value> = {
	/** Made when it is first asked for. */
	of(name: string): Value;
	/** Forgets all others. */
	keepOnly(names: readonly string[]): void;
};

export const createByName = <Value>(create: () => Value): ByName<Value> => {
	const known = new Map<string, Value>();
	return {
		of(name) {
			const value = known.get(name) ?? create();
			known.set(name, value);
			return value;
		},
		keepOnly(names) {
			const kept = new Set(names);
			for (const name of known.keys()) {
				if (!kept.has(name)) {
					known.delete(name);
				}
			}
		},
	};
};
