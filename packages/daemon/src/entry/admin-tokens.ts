import {timingSafeEqual} from 'node:crypto';
import {sha256} from '@bitternpaddle/state';

export const adminRoles = ['read', 'operate', 'administer'] as const;
export type AdminRole = typeof adminRoles[number];

export type AdminToken = {readonly role: AdminRole; readonly token: string};

/** Compares digests in constant time, so that the duration reveals nothing about the token. */
export const roleOfToken = (tokens: readonly AdminToken[], presented: string): AdminRole | null => {
	const digest = new TextEncoder().encode(sha256(presented));
	let role: AdminRole | null = null;
	for (const known of tokens) {
		if (timingSafeEqual(new TextEncoder().encode(sha256(known.token)), digest)) {
			({role} = known);
		}
	}

	return role;
};

export const mayAct = (role: AdminRole, needed: AdminRole): boolean => adminRoles.indexOf(role) >= adminRoles.indexOf(needed);

/** The token with which entries authenticate to each other: the one with the least privileged role. */
export const exchangeToken = (tokens: readonly AdminToken[]): string => tokens.toSorted((a, b) => adminRoles.indexOf(a.role) - adminRoles.indexOf(b.role))[0]?.token ?? '';

/** An entry without any configured token accepts every caller. */
export const isExchangeToken = (tokens: readonly AdminToken[], presented: string): boolean => tokens.length === 0 || roleOfToken(tokens, presented) !== null;
