import murmur from 'imurmurhash';

/** 32-bit weight of a member for a key; the member with the greatest weight owns the key. */
export const rendezvousWeight = (key: string, member: string): number => murmur(key).hash('\0').hash(member).result();

/** Members by descending weight for `key`; removing a member moves only the keys that it owned. */
export const rendezvousOrder = (key: string, members: readonly string[]): string[] => members
	.map(member => ({member, weight: rendezvousWeight(key, member)}))
	.toSorted((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
	.map(({member}) => member);

export const hashText = (text: string): number => murmur(text).result();
