/** A version of a model's weights that an endpoint holds completely. */
export type HeldModel = {readonly model: string; readonly version: number};

/** `gone` is final for the start that announced it; a later start of the same id is `ready` again. */
export type EndpointState = 'ready' | 'draining' | 'gone';

/** The state that an endpoint announces. */
export type Announcement = {
	/** Name of the endpoint; if its starts announce `startedAtMs`, the next start may have the same name. */
	readonly id: string;
	readonly serviceName: string;
	readonly address: string;
	readonly zoneId: string;
	readonly slots: number;
	readonly state: EndpointState;
	readonly models: readonly HeldModel[];
	/** When this start of the endpoint began, in ms since 1970 by its own clock; 0 if unknown. */
	readonly startedAtMs: number;
	/** How much longer it is cold, counted from the announcement; 0 or absent if it is warm. */
	readonly coldForMs?: number;
	/** Increases with each announcement of the same start. */
	readonly sequence: number;
};

/** An announcement as forwarded between hosts, whose clocks differ. */
export type AgedAnnouncement = Announcement & {readonly ageMs: number};
