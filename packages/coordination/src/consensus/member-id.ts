/**
 * A member of the log is a host with one disk, `host#disk`. A host that comes
 * back with an empty disk is another member: under its old id it could vote
 * again in a term in which it has voted, or be counted for entries that it no
 * longer holds.
 */
export const memberIdOf = (hostId: string, diskId: string): string => `${hostId}#${diskId}`;

/** Marks the ids of hosts without a disk; names of disks are hexadecimal, or words without a dash. */
const noDiskPrefix = 'none-';

/**
 * The member that a host without a disk is for one start of its process. It
 * forgets what it voted and what it held, so each start is another member.
 */
export const memberIdWithoutDisk = (hostId: string, startId: string): string => memberIdOf(hostId, `${noDiskPrefix}${startId}`);

/** Whether a member's votes and entries outlive its process. */
export const hasDisk = (memberId: string): boolean => !memberId.slice(hostOfMember(memberId).length + 1).startsWith(noDiskPrefix);

export const hostOfMember = (memberId: string): string => memberId.split('#', 1)[0]!;
