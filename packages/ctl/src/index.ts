/** Placeholder. */
export const PACKAGE_NAME = 'ctl';
