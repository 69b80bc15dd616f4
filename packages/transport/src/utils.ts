/** For callbacks that libraries ask for and that have nothing to do here. */
export const ignore = (): void => undefined;
