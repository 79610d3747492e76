/**
 * Arithmetic of the stand-in model. Every layer mixes its input with a cache of all that it saw,
 * so that a layer or token left out, doubled or swapped changes every later token.
 */

const golden = 0x9e3779b1;
const firstPrintable = 97;
const alphabet = 26;

function mix(a: number, b: number): number {
  let h = Math.imul(a ^ b, golden);
  h ^= h >>> 15;
  h = Math.imul(h, 0x85ebca6b);
  return (h ^ (h >>> 13)) >>> 0;
}

/** Input of layer 0 for a token at a position. */
export const embed = (token: number, pos: number) => mix(token + 1, Math.imul(pos + 1, golden));

/** One layer at one position; updates the layer's cache in place. */
/* eslint-disable no-param-reassign -- the cache is the state of the sequence */
export function applyLayer(hidden: number, layer: number, kv: Uint32Array, index: number): number {
  const cache = mix(kv[index]!, hidden + layer);
  kv[index] = cache;
  return mix(hidden + layer * 31, cache);
}
/* eslint-enable no-param-reassign */

/** Token sampled from the output of the last layer. */
export const sample = (hidden: number) => (hidden % 6 === 0
  ? 32
  : firstPrintable + ((hidden >>> 5) % alphabet));

export const toWire = (hidden: number) => hidden.toString(16);
export const fromWire = (text: string) => Number.parseInt(text, 16);

/** The answer that a correct pipeline of `layers` layers gives; the tests' reference. */
export function referenceAnswer(
  layers: number,
  prompt: readonly number[],
  count: number,
): number[] {
  const kv = new Uint32Array(layers);
  const run = (token: number, pos: number) => Array.from({ length: layers })
    .reduce<number>((h, _, layer) => applyLayer(h, layer, kv, layer), embed(token, pos));
  let last = 0;
  prompt.forEach((token, pos) => {
    last = run(token, pos);
  });
  const answer = [sample(last)];
  while (answer.length < count) {
    last = run(answer.at(-1)!, prompt.length + answer.length - 1);
    answer.push(sample(last));
  }
  return answer;
}
