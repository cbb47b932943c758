/** Loads all policy plugins. */
import './admission-policies.js';
import './routing-policies.js';
