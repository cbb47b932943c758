/** Placeholder. */
export const PACKAGE_NAME = 'control';
