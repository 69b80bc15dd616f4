/** A version of a model's weights that an endpoint holds whole. */
export type HeldModel = {readonly model: string; readonly version: number};

/** `gone` is final for the start that said it; a later start of the same id is `ready` anew. */
export type EndpointState = 'ready' | 'draining' | 'gone';

/** What an endpoint says of itself. */
export type Announcement = {
	/** Name of the endpoint; where its starts tell `startedAtMs`, the next start may have the same. */
	readonly id: string;
	readonly serviceName: string;
	readonly address: string;
	readonly zoneId: string;
	readonly slots: number;
	readonly state: EndpointState;
	readonly models: readonly HeldModel[];
	/** When this start of the endpoint began, in ms since 1970 by its own clock; 0 if it does not tell. */
	readonly startedAtMs: number;
	/** Grows with each announcement of the same start. */
	readonly sequence: number;
};

/** An announcement as it is passed on between hosts, whose clocks differ. */
export type AgedAnnouncement = Announcement & {readonly ageMs: number};
