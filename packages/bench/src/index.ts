/** Placeholder. */
export const PACKAGE_NAME = 'bench';
