import {hostOfMember, planMembers, type PlanMembersOptions} from '@bitternpaddle/coordination';
import {notifyRpc, type Logger} from '@bitternpaddle/transport';
import type {ConsensusDriver} from './consensus-driver.js';
import type {MemberIdentity} from './member-identity.js';

export type VoterRepairOptions = Pick<PlanMembersOptions, 'required' | 'placeOf'> & {
	readonly driver: ConsensusDriver;
	readonly identity: Pick<MemberIdentity, 'memberId' | 'formation' | 'adoptFromLog'>;
	readonly voterCount: number;
	readonly replaceAfterMs: number;
	readonly logger: Logger;
	/** Addresses of the other control hosts. */
	otherAddresses(): string[];
	leadingSinceMs(): number;
	/** @default performance.now */
	nowMs?(): number;
};

export type VoterRepair = {
	/** Records that a control host has announced itself as not being a member. */
	recordAnnouncement(memberId: string): void;
	/** Announces this host if it is on standby, and changes the members if it leads. */
	run(): void;
};

export const repairIntervalMs = 250;
const announceIntervalMs = 1000;

/** Maintains the number of voters: standby hosts become learners, and a learner replaces a lost voter. */
export const createVoterRepair = (options: VoterRepairOptions): VoterRepair => {
	const {driver, identity, voterCount, replaceAfterMs, required, placeOf, logger, nowMs: now = () => performance.now()} = options;
	const standbys = new Map<string, number>();
	let lastAnnouncedAtMs = Number.NEGATIVE_INFINITY;

	const announce = (nowMs: number): void => {
		// A removed voter that doesn't know of its removal calls elections that it cannot win; it announces itself too.
		if (driver.state.leaderId !== null || nowMs - lastAnnouncedAtMs < announceIntervalMs) {
			return;
		}

		lastAnnouncedAtMs = nowMs;
		for (const address of options.otherAddresses()) {
			notifyRpc({
				address, method: 'control.standby', params: {memberId: identity.memberId}, timeoutMs: announceIntervalMs,
			}).catch(() => undefined);
		}
	};

	const plan = (nowMs: number): void => {
		const {state} = driver;
		if (state.role !== 'leader') {
			standbys.clear();
			return;
		}

		const members = planMembers({
			state, standbys, voterCount, leadingSinceMs: options.leadingSinceMs(), nowMs, replaceAfterMs, required, placeOf,
		});
		if (members !== null) {
			logger.event('BP1008', {
				voters: members.voters.map(voter => hostOfMember(voter)).join(','), learners: members.learners.map(learner => hostOfMember(learner)).join(','),
			});
			driver.propose({type: 'members', members});
		}
	};

	return {
		recordAnnouncement(memberId) {
			standbys.set(memberId, now());
		},
		run() {
			const nowMs = now();
			announce(nowMs);
			plan(nowMs);
			// Until it has formed a group, a host knows the members only from the log.
			if (driver.state.members.voters.length > 0 && !identity.formation().isFormed) {
				void identity.adoptFromLog();
			}
		},
	};
};
