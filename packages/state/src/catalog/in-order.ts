/**
 * Returns the records in the order of their keys. A catalog restored from a
 * snapshot has its keys in a different order than one that was built change by
 * change; if results depended on that order, hosts would diverge.
 */
export const valuesInKeyOrder = <Value>(records: Readonly<Record<string, Value>>): Value[] => Object.keys(records)
	.toSorted()
	.map(key => records[key]!);
