/**
 * A member of the log is a host with one disk, `host#disk`. A host that comes
 * back with an empty disk is another member: under its old id it could vote
 * again in a term in which it has voted, or be counted for entries that it no
 * longer holds.
 */
export const memberIdOf = (hostId: string, diskId: string): string => `${hostId}#${diskId}`;

export const hostOfMember = (memberId: string): string => memberId.split('#', 1)[0]!;
