/** Limits the nesting depth of JSON before it is parsed. */

export const MAX_JSON_DEPTH = 64;

const QUOTE = 34;
const BACKSLASH = 92;
const OPENING_BRACKETS = new Set([91, 123]);
const CLOSING_BRACKETS = new Set([93, 125]);

/**
 * Whether arrays and objects are nested at most `maxDepth` levels deep.
 *
 * @example isShallow(Buffer.from('[[1]]'), 2) // true
 */
export function isShallow(text: Buffer, maxDepth = MAX_JSON_DEPTH): boolean {
  let depth = 0;
  let inString = false;
  for (let index = 0; index < text.length; index += 1) {
    const byte = text[index] as number;
    if (inString) {
      if (byte === BACKSLASH) index += 1;
      else if (byte === QUOTE) inString = false;
    } else if (byte === QUOTE) inString = true;
    else if (OPENING_BRACKETS.has(byte)) {
      depth += 1;
      if (depth > maxDepth) return false;
    } else if (CLOSING_BRACKETS.has(byte)) depth -= 1;
  }
  return true;
}
