/**
 * The records in the order of their keys. A catalog from a snapshot has them
 * in another order than one that was built change by change; what is found
 * first must not depend on it, or hosts give different results.
 */
export const inOrder = <Value>(records: Readonly<Record<string, Value>>): Value[] => Object.keys(records)
	.toSorted()
	.map(key => records[key]!);
