/** Label values of requests, bounded so that organisations cannot grow the metrics at will. */

/** Pairs of organisation and class with series of their own; all further ones share `other`. */
export const maxLabelPairs = 1000;

export type LabelPair = Record<'organisation' | 'class', string>;

/** Creates a look-up that returns the same object for the same pair. */
export function createLabelPairs(limit = maxLabelPairs) {
  const pairs = new Map<string, Map<string, LabelPair>>();
  const other: LabelPair = { organisation: 'other', class: 'other' };
  let count = 0;

  return (organisation: string, cls: string): LabelPair => {
    const known = pairs.get(organisation)?.get(cls);
    if (known) return known;
    if (count >= limit) return other;
    count += 1;
    const labels = { organisation, class: cls };
    pairs.set(organisation, (pairs.get(organisation) ?? new Map()).set(cls, labels));
    return labels;
  };
}
