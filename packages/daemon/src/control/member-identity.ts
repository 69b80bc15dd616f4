import {randomUUID} from 'node:crypto';
import {mkdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {
	formedVoters, joinedFormation, memberIdOf, stepFormation, type Formation,
} from '@bitternpaddle/coordination';
import {formationSchema} from '@bitternpaddle/protocol';
import {DamagedLogError, replaceFile} from '@bitternpaddle/state';
import {callRpc} from '@bitternpaddle/transport';

export type MemberIdentityOptions = {
	readonly hostId: string;
	readonly folder: string;
	/** Hosts of the initial voters. */
	readonly voters: readonly string[];
	addressOf(hostId: string): string | undefined;
};

/** The consensus member that this host is, identified by its host id and the disk that holds its log. */
export type MemberIdentity = {
	readonly memberId: string;
	formation(): Formation;
	/** Runs one round with the other initial voters; `true` if this round formed the group. */
	form(): Promise<boolean>;
	/** Ends group formation on this host, because the log has specified the members. */
	adoptFromLog(): Promise<void>;
};

const requestTimeoutMs = 500;

const readFormation = async (filePath: string): Promise<Formation | null> => {
	try {
		return formationSchema.parse(JSON.parse(await readFile(filePath, 'utf8')));
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
			return null;
		}

		throw new DamagedLogError(`${filePath} is damaged (${(error as Error).message}); empty this data folder and start the host as a replacement`);
	}
};

/** Reads the identity from the data folder, or creates one in an empty folder. */
export const openMemberIdentity = async ({hostId, folder, voters, addressOf}: MemberIdentityOptions): Promise<MemberIdentity> => {
	await mkdir(folder, {recursive: true});
	const filePath = path.join(folder, 'formation.json');
	let formation: Formation = await readFormation(filePath) ?? {diskId: randomUUID().slice(0, 8), accepted: null, isFormed: false};
	let lastSave: Promise<void> = Promise.resolve();
	const save = async (next: Formation): Promise<void> => {
		lastSave = lastSave.then(async () => {
			if (!formation.isFormed) {
				// Persisted before any other host can receive it.
				await replaceFile(filePath, JSON.stringify(next));
				formation = next;
			}
		});
		return lastSave;
	};

	await save(formation);
	const requestFormation = async (voter: string): Promise<[string, Formation] | null> => {
		const address = addressOf(voter);
		if (address === undefined) {
			return null;
		}

		try {
			const answer = await callRpc({
				address, method: 'control.formation', params: {}, timeoutMs: requestTimeoutMs,
			});
			return [voter, formationSchema.parse(answer)];
		} catch {
			return null;
		}
	};

	return {
		memberId: memberIdOf(hostId, formation.diskId),
		formation: () => formation,
		async form() {
			if (formation.isFormed || !voters.includes(hostId)) {
				return false;
			}

			const answers = await Promise.all(voters.filter(voter => voter !== hostId).map(async voter => requestFormation(voter)));
			if (formation.isFormed) {
				return false;
			}

			const next = stepFormation({
				hostId, voters, own: formation, answers: new Map(answers.filter(answer => answer !== null)),
			});
			if (next.accepted !== formation.accepted || next.isFormed !== formation.isFormed) {
				await save(next);
			}

			return formedVoters(formation).length > 0;
		},
		async adoptFromLog() {
			if (!formation.isFormed) {
				await save(joinedFormation(formation));
			}
		},
	};
};
