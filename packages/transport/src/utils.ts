/** A no-op for callbacks that libraries require. */
export const ignore = (): void => undefined;
