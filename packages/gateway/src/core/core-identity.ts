import {randomUUID} from 'node:crypto';
import {mkdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {memberIdOf} from '@bitternpaddle/coordination';
import {DamagedLogError, replaceFile, type Members} from '@bitternpaddle/state';
import * as z from 'zod';

const identitySchema = z.object({
	diskId: z.string(),
	/** Addresses of the first voters; empty for a host that was added later. */
	firstVoters: z.array(z.string()),
});

export type CoreIdentity = {
	readonly memberId: string;
	readonly initialMembers: Members;
	/** Whether it was created now, at the first start of the whole system. */
	readonly isFirstStart: boolean;
};

export type CoreIdentityOptions = {
	readonly selfAddress: string;
	readonly folder: string;
	/** Whether the whole system starts for the first time, with empty disks. */
	readonly isFirstStart: boolean;
	readonly seeds: readonly string[];
};

/** Fixed disk id for the first start of the system, so that the first voters can derive each other's member ids without exchanging messages. */
const firstDiskId = 'first';

const newDiskId = (): string => randomUUID().slice(0, 8);

const readIdentity = async (filePath: string): Promise<z.infer<typeof identitySchema> | null> => {
	try {
		return identitySchema.parse(JSON.parse(await readFile(filePath, 'utf8')));
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
			return null;
		}

		throw new DamagedLogError(`${filePath} is damaged (${(error as Error).message}); empty this data folder and start the host as a replacement`);
	}
};

/**
 * Reads this host's member id in the log, or creates one for an empty disk.
 * A host whose disk was lost must not vote under its old id: it may already have
 * voted in this term, and it no longer holds the entries that it acknowledged. Only
 * at the first start of the whole system do the seeds become voters on their own; any
 * other empty disk makes a new member, which the leader adds. The first voters
 * therefore need not all be up to form a group: any majority of them suffices.
 */
export const openCoreIdentity = async ({selfAddress, folder, isFirstStart, seeds}: CoreIdentityOptions): Promise<CoreIdentity> => {
	await mkdir(folder, {recursive: true});
	const filePath = path.join(folder, 'identity.json');
	let identity = await readIdentity(filePath);
	const isCreated = identity === null && isFirstStart && seeds.includes(selfAddress);
	if (identity === null) {
		identity = isCreated
			? {diskId: firstDiskId, firstVoters: [...seeds]}
			: {diskId: newDiskId(), firstVoters: []};
		await replaceFile(filePath, JSON.stringify(identity));
	}

	return {
		memberId: memberIdOf(selfAddress, identity.diskId), isFirstStart: isCreated,
		initialMembers: {voters: identity.firstVoters.map(host => memberIdOf(host, firstDiskId)), learners: []},
	};
};
