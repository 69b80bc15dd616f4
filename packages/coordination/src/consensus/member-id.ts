/**
 * A member is identified by its host and disk, `host#disk`. A host that returns
 * with an empty disk is a different member: under its old id it could vote a
 * second time in the same term, or be counted for entries that it no longer holds.
 */
export const memberIdOf = (hostId: string, diskId: string): string => `${hostId}#${diskId}`;

/** Prefix of the disk ids of hosts without a disk. Other disk ids are hexadecimal, or words without a dash. */
const noDiskPrefix = 'none-';

/**
 * Member id of a host without a disk, for one start of its process. The host
 * loses its votes and entries on exit, so each start is a different member.
 */
export const memberIdWithoutDisk = (hostId: string, startId: string): string => memberIdOf(hostId, `${noDiskPrefix}${startId}`);

/** Whether a member's votes and entries survive a restart of its process. */
export const hasDisk = (memberId: string): boolean => !memberId.slice(hostOfMember(memberId).length + 1).startsWith(noDiskPrefix);

export const hostOfMember = (memberId: string): string => memberId.split('#', 1)[0]!;
