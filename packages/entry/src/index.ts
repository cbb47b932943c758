/** Placeholder. */
export const PACKAGE_NAME = 'entry';
