/**
 * Deterministic model of the stand-in engine. Each layer hashes its input into its KV cache, so
 * that a layer or token that is skipped, repeated or reordered changes every later token.
 */

/** The golden ratio's fraction as a 32-bit odd multiplier, as in Fibonacci hashing. */
const goldenRatio = 0x9e3779b1;
const firstLetter = 97;
const alphabetSize = 26;

function mix(a: number, b: number): number {
  let h = Math.imul(a ^ b, goldenRatio);
  h ^= h >>> 15;
  h = Math.imul(h, 0x85ebca6b);
  return (h ^ (h >>> 13)) >>> 0;
}

/** Returns the input of layer 0 for a token at a position. */
export const embed = (token: number, pos: number) => mix(
  token + 1,
  Math.imul(pos + 1, goldenRatio),
);

/** Runs one layer at one position; updates `kv[index]`, the layer's cache, in place. */
/* eslint-disable no-param-reassign -- the cache is the state of the sequence */
export function applyLayer(hidden: number, layer: number, kv: Uint32Array, index: number): number {
  const cache = mix(kv[index]!, hidden + layer);
  kv[index] = cache;
  return mix(hidden + layer * 31, cache);
}
/* eslint-enable no-param-reassign */

/** Derives a token, a space or a lower-case letter, from the output of the last layer. */
export const sample = (hidden: number) => (hidden % 6 === 0
  ? 32
  : firstLetter + ((hidden >>> 5) % alphabetSize));

export const encodeHidden = (hidden: number) => hidden.toString(16);
export const decodeHidden = (text: string) => Number.parseInt(text, 16);

/** Returns the tokens that a correct pipeline of `layers` layers generates for a prompt. */
export function referenceAnswer(
  layers: number,
  prompt: readonly number[],
  count: number,
): number[] {
  const kv = new Uint32Array(layers);
  const runPosition = (token: number, pos: number) => Array.from({ length: layers })
    .reduce<number>((h, _, layer) => applyLayer(h, layer, kv, layer), embed(token, pos));
  let last = 0;
  prompt.forEach((token, pos) => {
    last = runPosition(token, pos);
  });
  const answer = [sample(last)];
  while (answer.length < count) {
    last = runPosition(answer.at(-1)!, prompt.length + answer.length - 1);
    answer.push(sample(last));
  }
  return answer;
}
