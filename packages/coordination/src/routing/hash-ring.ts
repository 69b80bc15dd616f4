import {hashText} from '../utils/rendezvous.js';

type Point<Member> = {readonly hash: number; readonly member: Member};

export type RingMember = {readonly hostId: string};

/**
 * A consistent-hash ring. Changes are collected and merged in one pass at the
 * next look-up, so that a burst of joins costs one pass, not one for each.
 */
export type HashRing<Member extends RingMember> = {
	points: Array<Point<Member>>;
	readonly added: Set<Member>;
	readonly removed: Set<Member>;
};

/** More points spread the keys more evenly: with 16 the heaviest member has about 1.6 times the mean. */
const pointsPerMember = 16;

export const createHashRing = <Member extends RingMember>(): HashRing<Member> => ({points: [], added: new Set(), removed: new Set()});

export const addToRing = <Member extends RingMember>(ring: HashRing<Member>, member: Member): void => {
	if (!ring.removed.delete(member)) {
		ring.added.add(member);
	}
};

export const removeFromRing = <Member extends RingMember>(ring: HashRing<Member>, member: Member): void => {
	if (!ring.added.delete(member)) {
		ring.removed.add(member);
	}
};

const merge = <Member extends RingMember>(ring: HashRing<Member>): void => {
	const fresh: Array<Point<Member>> = [];
	for (const member of ring.added) {
		for (let index = 1; index <= pointsPerMember; index++) {
			fresh.push({hash: hashText(`${member.hostId}/${index}`), member});
		}
	}

	fresh.sort((a, b) => a.hash - b.hash);
	const merged: Array<Point<Member>> = [];
	let next = 0;
	for (const point of ring.points) {
		if (ring.removed.has(point.member)) {
			continue;
		}

		while (next < fresh.length && fresh[next]!.hash < point.hash) {
			merged.push(fresh[next++]!);
		}

		merged.push(point);
	}

	ring.points = [...merged, ...fresh.slice(next)];
	ring.added.clear();
	ring.removed.clear();
};

/** The first of at most `tries` owners of the key, in ring order, that `accepts`. */
export const findOnRing = <Member extends RingMember>(ring: HashRing<Member>, key: string, tries: number, accepts: (member: Member) => boolean): Member | null => {
	if (ring.added.size > 0 || ring.removed.size > 0) {
		merge(ring);
	}

	const {points} = ring;
	let position = lowerBound(points, hashText(key));
	let previous: Member | null = null;
	for (let tried = 0, looked = 0; tried < tries && looked < points.length; looked++) {
		const {member} = points[position % points.length]!;
		position++;
		if (member === previous) {
			continue;
		}

		if (accepts(member)) {
			return member;
		}

		previous = member;
		tried++;
	}

	return null;
};

const lowerBound = <Member>(points: ReadonlyArray<Point<Member>>, hash: number): number => {
	let low = 0;
	let high = points.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (points[middle]!.hash < hash) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
};
